//! Delivery of staleness limits to routers: sending missing limits, tracking confirmations, and waiting until no router
//! can send requests under an older limit.

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

/// Returns the versions of staleness limits, by key, from the versions that a router reported.
pub fn confirmed_limits(reported: &[(String, u64)]) -> BTreeMap<String, u64> {
    let limits = reported.iter().filter_map(|(name, version)| Some((name.strip_prefix('\0')?.to_string(), *version)));
    limits.collect()
}

/// Sends a subscriber the limits that it lacks.
pub fn send_missing_limits(committed_state: &CommittedState, subscriber: &mut Subscriber) {
    for (key, limit) in &committed_state.staleness_limits {
        let known_version = subscriber.evacuation_versions.entry(HiddenKey::Register(key).into()).or_default();
        if limit.version <= *known_version {
            continue;
        }
        match subscriber.responder.notify(&Message::StalenessLimit(Box::new(limit.clone()))) {
            true => *known_version = limit.version,
            false => subscriber.is_behind = true,
        }
    }
}

/// How long after a commit a router that has not learned of it may still send requests under the older limit, in ms:
/// its controller may treat an earlier read as confirmed for `CONFIRMATION_TTL_MS`, and the lease that it then renews
/// lasts `LEASE_MS`.
pub const CONFIRMATION_TIMEOUT_MS: u64 = CONFIRMATION_TTL_MS + LEASE_MS + 200;
/// The interval between two counts, in ms.
const POLL_INTERVAL_MS: u64 = 60;
/// The timeout of a query for a controller's count, in ms.
const RESPONSE_TIMEOUT_MS: u64 = 400;

impl Controller {
    /// Returns whether this subscriber has confirmed every limit known here.
    pub fn has_confirmed_limits(&self, subscriber: &Subscriber) -> bool {
        let has_confirmed = |key: &str, version: u64| {
            subscriber.confirmed_limits.get(key).is_some_and(|confirmed| *confirmed >= version)
        };
        self.committed.read(|state| state.staleness_limits.iter().all(|(key, limit)| has_confirmed(key, limit.version)))
    }

    /// Returns how many routers hold a lease here, and how many of them have confirmed a limit. While the limit is not
    /// known here, no router counts as confirmed.
    pub fn count_confirmations(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        let is_known = self.committed.staleness_limit(key).is_some_and(|limit| limit.version >= version);
        let (total, confirmed) = self.subscribers.confirmations(key, version, now);
        // The limit is not known yet, or routers may still hold a lease from an earlier incarnation of this controller:
        // report at least one unconfirmed router, so that the caller retries.
        match is_known && now >= CONFIRMATION_TIMEOUT_MS {
            true => (total, confirmed),
            false => (total.max(1), 0),
        }
    }

    /// Returns the counts of all controllers, `None` for each one that did not respond.
    pub async fn collect_confirmations(&self, key: &str, version: u64) -> Vec<Option<(u32, u32)>> {
        let queries = self.known_peers().into_iter().map(|ip| {
            let peer = self.peers.client(&ip);
            async move {
                let query = Message::CountConfirmations(Box::new((key.to_string(), version)));
                match peer.call(query, RESPONSE_TIMEOUT_MS).await {
                    Some(Message::ConfirmationCount(reply)) => Some(*reply),
                    _ => None,
                }
            }
        });
        let mut counts = future::join_all(queries).await;
        counts.push(Some(self.count_confirmations(key, version, clock::now())));
        counts
    }

    /// Waits until no router can send requests under an older limit: each has confirmed this one, or its lease has
    /// expired. Returns `false` if a router still holds its lease without confirming when the wait times out.
    pub async fn wait_for_confirmations(&self, key: &str, version: u64) -> bool {
        let started_at = clock::now();
        loop {
            let counts = self.collect_confirmations(key, version).await;
            let timed_out = clock::now() >= started_at + CONFIRMATION_TIMEOUT_MS;
            // After the timeout, routers of an unresponsive controller can no longer send requests under an older
            // limit. All routers of a responsive one must have confirmed.
            let all_confirmed =
                counts.iter().all(|count| count.map_or(timed_out, |(total, confirmed)| total == confirmed));
            if all_confirmed || timed_out {
                return all_confirmed;
            }
            time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Sends a subscriber the weight versions that it lacks.
    pub fn send_weights(&self, subscriber: &mut Subscriber) {
        self.engines.for_each_weight_versions(|(zone, list)| {
            let known_version = subscriber.list_versions.entry(HiddenKey::WeightVersions(zone).into()).or_default();
            let version = (list.term, list.sequence);
            if *known_version == version {
                return;
            }
            match subscriber.responder.notify(&Message::WeightVersions(Box::new(list.clone()))) {
                true => *known_version = version,
                false => subscriber.is_behind = true,
            }
        });
    }
}

/// Accepts weight versions from the poller of a zone, which may be this controller.
pub fn accept_weight_versions(controller: &Controller, list: WeightVersions) {
    if controller.engines.accept_weight_versions(list) {
        controller.push_updates();
    }
}

/// Publishes the weight versions (engine, model, version) that this controller polled in a zone; with `republish` even
/// if they did not change. Called only while there are limits.
pub fn publish_weight_versions(controller: &Controller, zone: &str, list: Weights, republish: bool) {
    let known = controller.engines.weight_versions(zone);
    let is_unchanged = known.term == controller.replica_id && known.list == list;
    if is_unchanged && !republish {
        return;
    }
    let sequence = known.sequence + u64::from(!is_unchanged);
    let next = WeightVersions { zone: zone.into(), term: controller.replica_id, sequence, list };
    controller.notify_peers(&Message::WeightVersions(Box::new(next.clone())));
    accept_weight_versions(controller, next);
}
