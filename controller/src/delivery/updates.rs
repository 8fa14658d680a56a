//! Sends subscribers the state that they lack: with each of their renewals, and immediately when state changes.

use std::collections::BTreeMap;

use kernel::clock;
use protocol::link::Responder;
use protocol::message::{
    self, EvacuationState, ListVersion, Message, StateUpdate, SubscriptionRenewal, ENDPOINT_UPDATES, QUOTAS,
    VERSION_ROLLOUTS,
};
use serde_json::Value;

use crate::controller::{Controller, ROUTER_LEASE_MS};
use crate::delivery::limit_confirmations;
use crate::delivery::subscribers::Subscriber;
use crate::metering;
use crate::quota_shards::send_owners;
use crate::replication::committed_state::{CommittedState, RoleState};
use crate::roles::CATALOG;
use crate::rollout::{sample_relay, version_rollouts};

/// The first protocol version with staleness limits.
const STALENESS_LIMITS: u64 = 2;

impl Controller {
    /// Renews a router's lease and responds with the state that it lacks according to its report.
    pub fn renew_subscription(&self, responder: Responder, id: u64, renewal: SubscriptionRenewal) {
        let now = clock::now();
        let lease_expires_at = now + ROUTER_LEASE_MS;
        self.peers.update(|view| {
            view.renew_lease(&renewal.node, lease_expires_at, renewal.in_flight, renewal.frontend_address)
        });
        self.engines.update(|lists| lists.observe_terms(&renewal.list_versions));
        let mut subscriber = Subscriber {
            confirmed_limits: limit_confirmations::confirmed_limits(&renewal.evacuation_versions),
            lease_expires_at,
            responder,
            zone: renewal.zone,
            incarnation: renewal.incarnation,
            sent_controllers: self.subscribers.sent_controllers(&renewal.node, renewal.incarnation),
            config_revision: renewal.config_revision,
            is_behind: false,
            protocol_version: message::protocol_version_of(&renewal.list_versions),
            evacuation_versions: renewal.evacuation_versions.into_iter().collect(),
            list_versions: renewal
                .list_versions
                .into_iter()
                .map(|entry| (entry.name, (entry.term, entry.sequence)))
                .collect(),
        };
        let mut update = self.missing_state(&mut subscriber, now);
        sample_relay::request_samples(self, &subscriber);
        metering::request_counts(&self.settings, self.incarnation, &subscriber);
        self.add_controllers(&mut update, &renewal.node, &mut subscriber, now);
        // The lease for requests under a limit is renewed only for a router that has confirmed every limit known here.
        // A router of the first version holds no such lease: it continues to serve, and no limit is in effect while it
        // is subscribed.
        update.confirmed &= subscriber.protocol_version < STALENESS_LIMITS || self.has_confirmed_limits(&subscriber);
        // All updates must have been sent to a router before a response states that it is current.
        update.confirmed &= !subscriber.is_behind;
        if !subscriber.responder.reply(id, &Message::StateUpdate(Box::new(update))) {
            subscriber.sent_controllers = None;
        }
        self.subscribers.insert(renewal.node, subscriber);
    }

    /// Forwards the suspicion of an engine to all routers, each of which probes the engine itself. If it was `relayed`
    /// by a controller, the other controllers already have it.
    pub fn suspect_engine(&self, engine: &str, relayed: bool) {
        let suspicion = Message::SuspectEngine(Box::new((engine.to_string(), true)));
        self.subscribers.notify_all(&suspicion);
        if !relayed {
            self.notify_peers(&suspicion);
        }
    }

    /// Sends each subscriber the state that it lacks. A subscriber that is behind gets it with its next renewal.
    pub fn push_updates(&self) {
        let now = clock::now();
        let mut list = self.subscribers.take_all();
        let reachable =
            list.iter_mut().filter(|(_, subscriber)| !subscriber.is_behind && !subscriber.responder.is_closed());
        for (_, subscriber) in reachable {
            let update = self.missing_state(subscriber, now);
            if update.config.is_some() || !update.evacuations.is_empty() || !update.endpoint_lists.is_empty() {
                subscriber.send(&Message::StateUpdate(Box::new(update)));
            }
        }
        self.subscribers.restore(list, now);
    }

    /// Returns the update with the state that a subscriber lacks. State with its own message type is sent immediately
    /// instead.
    fn missing_state(&self, subscriber: &mut Subscriber, now: u64) -> StateUpdate {
        let mut update = StateUpdate { confirmed: self.committed.is_confirmed(now), ..Default::default() };
        self.committed.update(|state| add_control_state(state, &mut update, subscriber));
        self.add_membership(&mut update, now);
        match subscriber.protocol_version >= ENDPOINT_UPDATES {
            true => self.send_list_updates(subscriber, now),
            false => self.add_engine_lists(&mut update, subscriber),
        }
        if subscriber.protocol_version >= STALENESS_LIMITS {
            self.send_weights(subscriber);
        }
        if subscriber.protocol_version >= QUOTAS && self.committed.has_tenants() {
            send_owners(self, subscriber);
        }
        update
    }

    fn add_membership(&self, update: &mut StateUpdate, now: u64) {
        self.peers.update(|view| {
            update.router_count = view.router_count(now, update.confirmed);
            update.reassigning = view.reassigning(now);
        });
    }

    /// Adds the list of controllers, unless the router was recently sent the same one. Each router has its own order,
    /// so that the routers are distributed over the controllers of a zone.
    fn add_controllers(&self, update: &mut StateUpdate, node: &str, subscriber: &mut Subscriber, now: u64) {
        let controllers = self.peers.read(|view| view.preference_order(&subscriber.zone, node));
        if subscriber.needs_controllers(&controllers, now) {
            update.peers = controllers;
        }
    }

    /// Sends a subscriber the endpoint updates that it lacks: changes if it has a recent version, otherwise full lists.
    fn send_list_updates(&self, subscriber: &mut Subscriber, now: u64) {
        self.engines.for_each_history(|zone, history| {
            let known_version = subscriber.list_versions.entry(zone.into()).or_default();
            let known =
                (*known_version != (0, 0)).then_some(ListVersion { term: known_version.0, sequence: known_version.1 });
            let frames = history.frames_since(known, now);
            if frames.is_empty() {
                return;
            }
            let ListVersion { term, sequence } = history.version();
            match frames.into_iter().all(|frame| subscriber.responder.notify_frame(frame)) {
                true => *known_version = (term, sequence),
                false => subscriber.is_behind = true,
            }
        });
    }

    /// Adds the full endpoint lists that a subscriber of an earlier protocol version lacks.
    fn add_engine_lists(&self, update: &mut StateUpdate, subscriber: &mut Subscriber) {
        self.engines.read(|lists| {
            for list in lists.iter() {
                if message::is_hidden_key(&list.zone) && subscriber.protocol_version < VERSION_ROLLOUTS {
                    continue;
                }
                let known_version = subscriber.list_versions.entry(list.zone.clone()).or_default();
                if (list.term, list.sequence) > *known_version {
                    *known_version = (list.term, list.sequence);
                    update.endpoint_lists.push(list.clone());
                }
            }
        });
    }

    /// Returns this controller's view of the fleet as JSON for operators.
    pub fn fleet_view(&self) -> Value {
        let now = clock::now();
        let core = self.replica.membership();
        let members: Vec<&str> = core.members.iter().map(|member| member.ip.as_str()).collect();
        let is_confirmed = self.committed.is_confirmed(now);
        let revision = self.committed.revision();
        let to_tuple = |role: RoleState| (role.epoch, role.owner, role.predecessor_expired);
        let roles = self.committed.roles().into_iter();
        let roles: BTreeMap<String, _> = roles.map(|(key, role)| (key, to_tuple(role))).collect();
        let controllers = self.peers.live_ips(now);
        let routers = self.subscribers.config_revisions();
        serde_json::json!({
            "node_name": self.settings.node_name, "sure": is_confirmed, "revision": revision, "core": members,
            "core_stamp": core.version, "core_settled": core.stable, "live_keepers": controllers,
            "duties": roles, "routers": routers,
        })
    }
}

/// Adds or sends the committed state: staleness limits, the configuration, version rollouts, evacuations and the
/// catalog's owner.
fn add_control_state(state: &mut CommittedState, update: &mut StateUpdate, subscriber: &mut Subscriber) {
    if subscriber.protocol_version >= STALENESS_LIMITS {
        // Sent before the configuration, so that no router serves a route without a limit that is known here.
        limit_confirmations::send_missing_limits(state, subscriber);
        // Sent before the update: a router that the update confirms as current already has the configuration.
        let responder = &subscriber.responder;
        let protocol_version = subscriber.protocol_version;
        let sent = state
            .history
            .send_missing(protocol_version, &mut subscriber.config_revision, |frame| responder.notify_frame(frame));
        subscriber.is_behind |= !sent;
    } else if let Some((revision, text)) = state.history.text_newer_than(subscriber.config_revision) {
        update.config = Some((revision, text));
        subscriber.config_revision = revision;
    }
    if subscriber.protocol_version >= VERSION_ROLLOUTS {
        version_rollouts::send_missing_rollouts(state, subscriber);
    }
    subscriber.is_behind |= !state.history.can_send_to(subscriber.protocol_version);
    for (zone, evacuation) in &state.evacuations {
        let known_version = subscriber.evacuation_versions.entry(zone.clone()).or_default();
        if evacuation.version > *known_version {
            update.evacuations.push(EvacuationState {
                zone: zone.clone(),
                version: evacuation.version,
                evacuated: evacuation.evacuated,
            });
            *known_version = evacuation.version;
        }
    }
    let catalog = state.roles.get(CATALOG).cloned().unwrap_or_default();
    update.catalog = (catalog.epoch, catalog.owner);
}
