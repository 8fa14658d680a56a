//! Heartbeats between controllers: which of them are alive, and which endpoint lists each of them has.

use std::net::Ipv4Addr;
use std::sync::Arc;

use bytes::Bytes;
use kernel::{clock, startup};
use membership::{MembershipView, Peer};
use protocol::frame::{self, Kind};
use protocol::message::{self, Gossip, Message, ENDPOINT_UPDATES, ENGINE_USAGE};

use crate::balancing::usage_reports;
use crate::controller::{Controller, HEARTBEAT_INTERVAL_MS, LIVENESS_TIMEOUT_MS};
use crate::discovery::poller;
use crate::quota_shards;
use crate::replication::confirmer;
use crate::roles::{self, BALANCE, BATCH};

/// Processes a heartbeat from another controller, and sends back the endpoint lists that it lacks.
pub fn receive(controller: &Controller, gossip: &Gossip) {
    if gossip.ip == controller.own_ip() {
        return;
    }
    controller.replica.adopt_membership(&gossip.membership);
    let now = clock::now();
    let peer = peer_of(gossip, now);
    controller.peers.update(|view| {
        view.observe(&gossip.ip, peer);
        view.record_report(&gossip.ip, poller::peer_report(gossip), now);
        for ip in &gossip.peers {
            if ip.parse::<Ipv4Addr>().is_ok() && *ip != view.own_ip && !view.controllers.contains_key(ip) {
                view.controllers.insert(ip.clone(), Peer::default());
            }
        }
    });
    repair_lists(controller, gossip, now);
}

/// Sends a peer the endpoint lists that it lacks according to its heartbeat, if this controller is the one to repair
/// them.
fn repair_lists(controller: &Controller, gossip: &Gossip, now: u64) {
    let outdated = controller.engines.update(|lists| {
        lists.observe_terms(&gossip.observed_list_versions);
        lists.outdated_zones(&gossip.list_versions)
    });
    let live = controller.peers.live_ips(now);
    if !controller.engines.should_repair(controller.own_ip(), &gossip.ip, !outdated.is_empty(), &live) {
        return;
    }
    let peer = controller.peers.client(&gossip.ip);
    if message::protocol_version_of(&gossip.list_versions) < ENDPOINT_UPDATES {
        for list in controller.engines.read(|lists| lists.newer_than(&gossip.list_versions, now)) {
            peer.notify(Message::EndpointList(Box::new(list)));
        }
        return;
    }
    for (zone, known) in outdated {
        for frame in controller.engines.frames_since(&zone, known, now) {
            peer.notify_frame(frame);
        }
    }
}

/// Converts a heartbeat to the membership view's entry for its sender.
fn peer_of(gossip: &Gossip, now: u64) -> Peer {
    Peer {
        zone: gossip.zone.clone(),
        incarnation: gossip.incarnation,
        last_seen: now,
        eligible: gossip.eligible,
        router_count: gossip.router_count,
        protocol_version: message::protocol_version_of(&gossip.list_versions),
        shutting_down: message::is_shutting_down(&gossip.list_versions),
        in_flight: gossip.in_flight.clone(),
        frontend_addresses: gossip.frontend_addresses.clone(),
        reassigning: gossip.reassigning.iter().map(|id| (id.clone(), now + 2 * LIVENESS_TIMEOUT_MS)).collect(),
    }
}

/// Starts the task that sends heartbeats and confirms the committed state. It runs until the process ends.
pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut heartbeat = startup::interval(HEARTBEAT_INTERVAL_MS);
        loop {
            heartbeat.tick().await;
            broadcast(&controller);
            confirmer::run(&controller).await;
            if quota_shards::refresh_owners(&controller) {
                controller.push_updates();
            }
        }
    });
}

/// Sends a heartbeat to all known controllers.
pub fn broadcast(controller: &Controller) {
    let now = clock::now();
    let own = controller.peers.update(|view| OwnReport::collect(view, now));
    let gossip = heartbeat(controller, &own, now);
    let balancer = controller.committed.role_owner(BALANCE);
    let batch_owner = controller.committed.role_owner(BATCH);
    let encoded = frame::encode(Kind::Notification, 0, &Message::Gossip(Box::new(gossip.clone())));
    let Ok(frame) = encoded.map(Bytes::from) else { return };
    for ip in controller.known_peers() {
        let client = controller.peers.client(&ip);
        // Data that grows with the number of routers is sent only to the controller that reads it, and nothing grows
        // with the number of engines.
        let is_balancer = balancer.as_ref() == Some(&ip);
        let is_batch_owner = batch_owner.as_ref() == Some(&ip);
        let reads_usage = controller.peers.protocol_version(&ip) >= ENGINE_USAGE;
        if is_balancer && reads_usage {
            client.notify(Message::EngineUsage(Box::new(usage_reports::own_usage(controller, &own.in_flight))));
        }
        if is_batch_owner || (is_balancer && !reads_usage) {
            let mut gossip = gossip.clone();
            if is_balancer && !reads_usage {
                gossip.in_flight.clone_from(&own.in_flight);
            }
            if is_batch_owner {
                gossip.frontend_addresses.clone_from(&own.frontend_addresses);
            }
            client.notify(Message::Gossip(Box::new(gossip)));
        } else {
            client.notify_frame(frame.clone());
        }
    }
}

/// A consistent snapshot of this controller's peers, routers and engines, for its heartbeat.
struct OwnReport {
    live_peers: Vec<String>,
    router_count: u32,
    in_flight: Vec<(String, u32)>,
    reassigning: Vec<String>,
    frontend_addresses: Vec<String>,
}

impl OwnReport {
    /// Removes expired entries from the view and reports the rest.
    fn collect(view: &mut MembershipView, now: u64) -> OwnReport {
        view.remove_expired(now);
        OwnReport {
            live_peers: view.controllers.keys().filter(|ip| view.is_live(ip, now)).cloned().collect(),
            router_count: view.routers.len() as u32,
            in_flight: view.own_in_flight(),
            reassigning: view.own_reassigning(now),
            frontend_addresses: view.own_frontend_addresses(),
        }
    }
}

/// Returns the part of a heartbeat that is the same for all controllers.
fn heartbeat(controller: &Controller, own: &OwnReport, now: u64) -> Gossip {
    let (mut list_versions, observed_list_versions) =
        controller.engines.read(|lists| (lists.versions(), lists.observed_terms()));
    list_versions.push(message::own_protocol_version());
    if controller.is_shutting_down() {
        list_versions.push(message::shutting_down_marker());
    }
    list_versions.extend(poller::access_marker(controller, now));
    list_versions.extend(roles::gossip_markers(controller, now));
    Gossip {
        ip: controller.own_ip().into(),
        zone: controller.settings.zone.clone(),
        incarnation: controller.incarnation,
        eligible: is_eligible(controller),
        membership: controller.replica.membership(),
        peers: if controller.peers.are_addresses_due(&own.live_peers) { own.live_peers.clone() } else { Vec::new() },
        router_count: own.router_count,
        in_flight: Vec::new(),
        reassigning: own.reassigning.clone(),
        frontend_addresses: controller.announced_routers(),
        list_versions,
        observed_list_versions,
    }
}

/// Returns whether this controller may become a core member: its settings allow that (on a machine that counts for
/// quorums, or on any machine if none has a disk), and its acceptor may vote.
fn is_eligible(controller: &Controller) -> bool {
    controller.settings.quorum_member && controller.replica.may_vote()
}
