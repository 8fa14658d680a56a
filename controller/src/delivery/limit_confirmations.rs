//! Limits on stale weights on their way to routers: what a router lacks, what it has confirmed, and the
//! wait until no router can send bound work under an older rule.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future;
use kernel::clock;
use load_balancing::staleness_bound::LEASE_MS;
use protocol::message::{self, Message, WeightVersions};
use tokio::time;

use crate::controller::{Controller, CONFIRMATION_TTL_MS};
use crate::delivery::subscribers::Subscriber;
use crate::replication::committed_state::CommittedState;

/// The versions of rules among what a router told.
pub fn confirmed_limits(closed: &[(String, u64)]) -> BTreeMap<String, u64> {
    let rules = closed.iter().filter_map(|(name, version)| Some((name.strip_prefix('\0')?.to_string(), *version)));
    rules.collect()
}

/// Sends the rules that a follower lacks.
pub fn send_missing_limits(committed_state: &CommittedState, follower: &mut Subscriber) {
    for (key, rule) in &committed_state.staleness_limits {
        let has = follower.evacuation_versions.entry(message::hidden_key(key)).or_default();
        if rule.version <= *has {
            continue;
        }
        match follower.responder.notify(&Message::StalenessLimit(Box::new(rule.clone()))) {
            true => *has = rule.version,
            false => follower.is_behind = true,
        }
    }
}

/// From a commit on, how long a router that has not heard of it may still send bound work: its controller may
/// be sure of what it read before for `CONFIRMATION_TTL_MS`, and the lease that it then renews lasts `LEASE_MS`.
pub const SETTLE_TIMEOUT_MS: u64 = CONFIRMATION_TTL_MS + LEASE_MS + 200;
/// The pause between looks, and how long a controller may take to answer one.
const POLL_INTERVAL_MS: u64 = 60;
const RESPONSE_TIMEOUT_MS: u64 = 400;

impl Controller {
    /// Has this follower confirmed every rule known here?
    pub fn has_confirmed_limits(&self, follower: &Subscriber) -> bool {
        let has =
            |key: &str, version: u64| follower.confirmed_limits.get(key).is_some_and(|confirmed| *confirmed >= version);
        self.committed.read(|state| state.staleness_limits.iter().all(|(key, rule)| has(key, rule.version)))
    }

    /// Routers that hold a lease here, and how many of them have confirmed a rule. None counts as
    /// confirmed while it is not known here.
    pub fn count_confirmations(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        let known = self.committed.staleness_limit(key).is_some_and(|rule| rule.version >= version);
        let (all, good) = self.subscribers.confirmations(key, version, now);
        // Not yet learned, or started so lately that routers may hold a lease from a life before: whoever asks
        // must ask again.
        match known && now >= SETTLE_TIMEOUT_MS {
            true => (all, good),
            false => (all.max(1), 0),
        }
    }

    /// Asks all other controllers. None for one that did not answer.
    pub async fn collect_confirmations(&self, key: &str, version: u64) -> Vec<Option<(u32, u32)>> {
        let asks = self.known_peers().into_iter().map(|ip| {
            let peer = self.peers.client(&ip);
            async move {
                let msg = Message::CountConfirmations(Box::new((key.to_string(), version)));
                match peer.call(msg, RESPONSE_TIMEOUT_MS).await {
                    Some(Message::ConfirmationCount(reply)) => Some(*reply),
                    _ => None,
                }
            }
        });
        let mut list = future::join_all(asks).await;
        list.push(Some(self.count_confirmations(key, version, clock::now())));
        list
    }

    /// Waits until no router can send bound work under an older rule: each has confirmed this one or its
    /// lease has lapsed. False: one keeps its lease without confirming.
    pub async fn wait_for_confirmations(&self, key: &str, version: u64) -> bool {
        let begun = clock::now();
        loop {
            let list = self.collect_confirmations(key, version).await;
            let late = clock::now() >= begun + SETTLE_TIMEOUT_MS;
            // Who does not answer can be waited out; who answers must have settled.
            let good = list.iter().all(|reply| reply.map_or(late, |(all, good)| all == good));
            if good || late {
                return good;
            }
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Sends the weight versions that a follower lacks.
    pub fn send_weights(&self, follower: &mut Subscriber) {
        self.engines.for_each_weight_versions(|(zone, list)| {
            let has = follower.list_versions.entry(message::hidden_key(zone)).or_default();
            let version = (list.term, list.sequence);
            if *has == version {
                return;
            }
            match follower.responder.notify(&Message::WeightVersions(Box::new(list.clone()))) {
                true => *has = version,
                false => follower.is_behind = true,
            }
        });
    }
}

/// Versions from the poller of a zone, or from the own poll.
pub fn accept_weight_versions(controller: &Controller, list: WeightVersions) {
    if controller.engines.accept_weight_versions(list) {
        controller.push_updates();
    }
}

/// What the poller of a zone saw, asked for only while there are rules.
pub fn publish_weight_versions(controller: &Controller, zone: &str, list: Vec<(String, String, u64)>, again: bool) {
    let held = controller.engines.weight_versions(zone);
    let same = held.term == controller.replica_id && held.list == list;
    if same && !again {
        return;
    }
    let count = held.sequence + u64::from(!same);
    let next = WeightVersions { zone: zone.into(), term: controller.replica_id, sequence: count, list };
    controller.notify_peers(&Message::WeightVersions(Box::new(next.clone())));
    accept_weight_versions(controller, next);
}
