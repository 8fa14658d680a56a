//! Staleness limits on their way to routers: what a router lacks, what it has confirmed, and the wait until no router can
//! send bound work under an older limit.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future;
use kernel::clock;
use load_balancing::LEASE_MS;
use protocol::message::{HiddenKey, Message, WeightVersions};
use tokio::time;

use crate::controller::{Controller, CONFIRMATION_TTL_MS};
use crate::delivery::subscribers::Subscriber;
use crate::discovery::listing::Weights;
use crate::replication::committed_state::CommittedState;

/// Returns the versions of limits by key among the versions that a router reported.
pub fn confirmed_limits(reported: &[(String, u64)]) -> BTreeMap<String, u64> {
    let limits = reported.iter().filter_map(|(name, version)| Some((name.strip_prefix('\0')?.to_string(), *version)));
    limits.collect()
}

/// Sends the limits that a subscriber lacks.
pub fn send_missing_limits(committed_state: &CommittedState, subscriber: &mut Subscriber) {
    for (key, limit) in &committed_state.staleness_limits {
        let has = subscriber.evacuation_versions.entry(HiddenKey::Register(key).into()).or_default();
        if limit.version <= *has {
            continue;
        }
        match subscriber.responder.notify(&Message::StalenessLimit(Box::new(limit.clone()))) {
            true => *has = limit.version,
            false => subscriber.is_behind = true,
        }
    }
}

/// From a commit on, how long a router that has not heard of it may still send bound work: its controller may count what it
/// read before as confirmed for `CONFIRMATION_TTL_MS`, and the lease that it then renews lasts `LEASE_MS`.
pub const CONFIRMATION_TIMEOUT_MS: u64 = CONFIRMATION_TTL_MS + LEASE_MS + 200;
/// The pause between two counts.
const POLL_INTERVAL_MS: u64 = 60;
/// How long a controller may take to respond with its count.
const RESPONSE_TIMEOUT_MS: u64 = 400;

impl Controller {
    /// Returns whether this subscriber has confirmed every limit known here.
    pub fn has_confirmed_limits(&self, subscriber: &Subscriber) -> bool {
        let has = |key: &str, version: u64| {
            subscriber.confirmed_limits.get(key).is_some_and(|confirmed| *confirmed >= version)
        };
        self.committed.read(|state| state.staleness_limits.iter().all(|(key, limit)| has(key, limit.version)))
    }

    /// Returns how many routers hold a lease here, and how many of them have confirmed a limit. None counts as confirmed
    /// while the limit is not known here.
    pub fn count_confirmations(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        let known = self.committed.staleness_limit(key).is_some_and(|limit| limit.version >= version);
        let (all, confirmed) = self.subscribers.confirmations(key, version, now);
        // Not yet learned, or started so lately that routers may hold a lease from an earlier incarnation: whoever
        // asks must ask again.
        match known && now >= CONFIRMATION_TIMEOUT_MS {
            true => (all, confirmed),
            false => (all.max(1), 0),
        }
    }

    /// Returns the counts of all controllers, None for one that did not respond.
    pub async fn collect_confirmations(&self, key: &str, version: u64) -> Vec<Option<(u32, u32)>> {
        let queries = self.known_peers().into_iter().map(|ip| {
            let peer = self.peers.client(&ip);
            async move {
                let msg = Message::CountConfirmations(Box::new((key.to_string(), version)));
                match peer.call(msg, RESPONSE_TIMEOUT_MS).await {
                    Some(Message::ConfirmationCount(reply)) => Some(*reply),
                    _ => None,
                }
            }
        });
        let mut list = future::join_all(queries).await;
        list.push(Some(self.count_confirmations(key, version, clock::now())));
        list
    }

    /// Waits until no router can send bound work under an older limit: each has confirmed this one or its lease has expired.
    /// Returns false where one keeps its lease without confirming.
    pub async fn wait_for_confirmations(&self, key: &str, version: u64) -> bool {
        let begun = clock::now();
        loop {
            let list = self.collect_confirmations(key, version).await;
            let late = clock::now() >= begun + CONFIRMATION_TIMEOUT_MS;
            // A controller that does not respond can be waited out; for one that responds all must have confirmed.
            let all_confirmed = list.iter().all(|count| count.map_or(late, |(all, confirmed)| all == confirmed));
            if all_confirmed || late {
                return all_confirmed;
            }
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Sends the weight versions that a subscriber lacks.
    pub fn send_weights(&self, subscriber: &mut Subscriber) {
        self.engines.for_each_weight_versions(|(zone, list)| {
            let has = subscriber.list_versions.entry(HiddenKey::WeightVersions(zone).into()).or_default();
            let version = (list.term, list.sequence);
            if *has == version {
                return;
            }
            match subscriber.responder.notify(&Message::WeightVersions(Box::new(list.clone()))) {
                true => *has = version,
                false => subscriber.is_behind = true,
            }
        });
    }
}

/// Takes over weight versions from the poller of a zone, or from the own poll.
pub fn accept_weight_versions(controller: &Controller, list: WeightVersions) {
    if controller.engines.accept_weight_versions(list) {
        controller.push_updates();
    }
}

/// Publishes the weight versions (engine, model, version) that this controller read of a zone, with `again` even if they did
/// not change. Called only while there are limits.
pub fn publish_weight_versions(controller: &Controller, zone: &str, list: Weights, again: bool) {
    let known = controller.engines.weight_versions(zone);
    let same = known.term == controller.replica_id && known.list == list;
    if same && !again {
        return;
    }
    let sequence = known.sequence + u64::from(!same);
    let next = WeightVersions { zone: zone.into(), term: controller.replica_id, sequence, list };
    controller.notify_peers(&Message::WeightVersions(Box::new(next.clone())));
    accept_weight_versions(controller, next);
}
