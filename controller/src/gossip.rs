//! Heartbeats between controllers.

use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use kernel::{clock, startup};
use membership::Peer;
use protocol::message::{self, Gossip, Message};

use crate::controller::{Controller, BEAT_MS, LIVE_MS};
use crate::duty::{self, BALANCE, BATCH};
use crate::{confirm, platform};

pub fn hear(controller: &Controller, gossip: &Gossip) {
    if gossip.ip == controller.me() {
        return;
    }
    controller.adopt(&gossip.membership);
    let now = clock::now();
    let mut roster = controller.roster.lock().expect("roster");
    let peer = Peer {
        zone: gossip.zone.clone(),
        incarnation: gossip.incarnation,
        last_seen: now,
        eligible: gossip.eligible,
        router_count: gossip.router_count,
        protocol_version: message::protocol_version_of(&gossip.list_versions),
        shutting_down: message::is_shutting_down(&gossip.list_versions),
        in_flight: gossip.in_flight.clone(),
        frontend_addresses: gossip.frontend_addresses.clone(),
        reassigning: gossip.reassigning.iter().map(|id| (id.clone(), now + 2 * LIVE_MS)).collect(),
    };
    roster.observe(&gossip.ip, peer);
    roster.record_report(&gossip.ip, platform::report(gossip), now);
    for ip in &gossip.peers {
        if ip.parse::<Ipv4Addr>().is_ok() && *ip != roster.own_ip && !roster.controllers.contains_key(ip) {
            let unseen =
                Peer { zone: String::new(), incarnation: 0, last_seen: 0, eligible: false, ..Default::default() };
            roster.controllers.insert(ip.clone(), unseen);
        }
    }
    drop(roster);
    // Repair: who is behind gets what it lacks.
    let mut sheets = controller.sheets.lock().expect("sheets");
    sheets.raise(&gossip.observed_list_versions);
    for sheet in sheets.newer(&gossip.list_versions) {
        controller.peer(&gossip.ip).notify(Message::EndpointList(Box::new(sheet)));
    }
}

pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut beat = startup::interval(BEAT_MS);
        loop {
            beat.tick().await;
            tell(&controller);
            confirm::run(&controller).await;
            if crate::quota::beat(&controller) {
                controller.push();
            }
        }
    });
}

/// Tells all controllers that are known how this one stands.
pub fn tell(controller: &Controller) {
    let now = clock::now();
    let core = controller.core();
    let (peers, seats, busy, resting, doors) = {
        let mut roster = controller.roster.lock().expect("roster");
        roster.remove_expired(now);
        let live: Vec<String> = roster.controllers.keys().filter(|ip| roster.is_live(ip, now)).cloned().collect();
        (
            live,
            roster.routers.len() as u32,
            roster.own_in_flight(),
            roster.own_reassigning(now),
            roster.own_frontend_addresses(),
        )
    };
    let (mut sheets, floors) = {
        let held = controller.sheets.lock().expect("sheets");
        let mut versions = held.versions();
        versions.push(message::own_protocol_version());
        if controller.leaving.load(Ordering::Relaxed) {
            versions.push(message::shutting_down_marker());
        }
        (versions, held.floors())
    };
    sheets.extend(platform::told(controller, now));
    sheets.extend(duty::told(controller, now));
    let gossip = Gossip {
        ip: controller.me().into(),
        zone: controller.settings.zone.clone(),
        incarnation: controller.life,
        eligible: fit(controller),
        membership: core,
        peers,
        router_count: seats,
        in_flight: Vec::new(),
        reassigning: resting,
        frontend_addresses: Vec::new(),
        list_versions: sheets,
        observed_list_versions: floors,
    };
    let holder = |duty: &str| {
        controller.committed_state.lock().expect("committed_state").duties.get(duty).map(|duty| duty.1.clone())
    };
    let (balancer, batch_owner) = (holder(BALANCE), holder(BATCH));
    for ip in controller.known() {
        let mut gossip = gossip.clone();
        // What grows with engines or routers goes to the one controller that reads it.
        if balancer.as_ref() == Some(&ip) {
            gossip.in_flight.clone_from(&busy);
        }
        if batch_owner.as_ref() == Some(&ip) {
            gossip.frontend_addresses.clone_from(&doors);
        }
        controller.peer(&ip).notify(Message::Gossip(Box::new(gossip)));
    }
}

/// May this controller be made a member: a counted machine, or any where none has a disk.
pub fn fit(controller: &Controller) -> bool {
    controller.settings.quorum_member && controller.voter.lock().expect("voter").may_vote
}
