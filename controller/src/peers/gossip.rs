//! Heartbeats between controllers.

use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use kernel::{clock, startup};
use membership::Peer;
use protocol::message::{self, Gossip, Message};

use crate::controller::{Controller, BEAT_MS, LIVE_MS};
use crate::discovery::poller;
use crate::replication::confirmer;
use crate::roles::{self, BALANCE, BATCH};

pub fn hear(controller: &Controller, gossip: &Gossip) {
    if gossip.ip == controller.me() {
        return;
    }
    controller.replica.adopt_membership(&gossip.membership);
    let now = clock::now();
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
    controller.peers.update(|view| {
        view.observe(&gossip.ip, peer);
        view.record_report(&gossip.ip, poller::report(gossip), now);
        for ip in &gossip.peers {
            if ip.parse::<Ipv4Addr>().is_ok() && *ip != view.own_ip && !view.controllers.contains_key(ip) {
                view.controllers.insert(ip.clone(), Peer::default());
            }
        }
    });
    // Repair: who is behind gets what it lacks.
    let newer = controller.engines.update(|lists| {
        lists.observe_terms(&gossip.observed_list_versions);
        lists.newer_than(&gossip.list_versions)
    });
    for list in newer {
        controller.peers.client(&gossip.ip).notify(Message::EndpointList(Box::new(list)));
    }
}

pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut beat = startup::interval(BEAT_MS);
        loop {
            beat.tick().await;
            tell(&controller);
            confirmer::run(&controller).await;
            if crate::quota_shards::beat(&controller) {
                controller.push();
            }
        }
    });
}

/// Tells all controllers that are known how this one stands.
pub fn tell(controller: &Controller) {
    let now = clock::now();
    let core = controller.replica.membership();
    let (peers, seats, busy, resting, doors) = controller.peers.update(|view| {
        view.remove_expired(now);
        let live: Vec<String> = view.controllers.keys().filter(|ip| view.is_live(ip, now)).cloned().collect();
        let router_count = view.routers.len() as u32;
        (live, router_count, view.own_in_flight(), view.own_reassigning(now), view.own_frontend_addresses())
    });
    let (mut sheets, floors) = controller.engines.read(|lists| (lists.versions(), lists.observed_terms()));
    sheets.push(message::own_protocol_version());
    if controller.leaving.load(Ordering::Relaxed) {
        sheets.push(message::shutting_down_marker());
    }
    sheets.extend(poller::told(controller, now));
    sheets.extend(roles::told(controller, now));
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
    let (balancer, batch_owner) = (controller.committed.role_owner(BALANCE), controller.committed.role_owner(BATCH));
    for ip in controller.known() {
        let mut gossip = gossip.clone();
        // What grows with engines or routers goes to the one controller that reads it.
        if balancer.as_ref() == Some(&ip) {
            gossip.in_flight.clone_from(&busy);
        }
        if batch_owner.as_ref() == Some(&ip) {
            gossip.frontend_addresses.clone_from(&doors);
        }
        controller.peers.client(&ip).notify(Message::Gossip(Box::new(gossip)));
    }
}

/// May this controller be made a member: a counted machine, or any where none has a disk.
pub fn fit(controller: &Controller) -> bool {
    controller.settings.quorum_member && controller.replica.may_vote()
}
