//! Limits on stale weights on their way to routers: what a router lacks, what it has confirmed, and the
//! wait until no router can send bound work under an older rule.

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future;
use kernel::clock;
use load_balancing::LEASE_MS;
use protocol::message::{EngineWeights, HiddenKey, Message, WeightVersions};
use tokio::time;

use crate::controller::{Controller, SURE_MS};
use crate::delivery::subscribers::Follower;
use crate::replication::committed_state::CommittedState;

/// The versions of rules among what a router told.
pub fn told(closed: &[(String, u64)]) -> BTreeMap<String, u64> {
    let rules = closed.iter().filter_map(|(name, version)| Some((name.strip_prefix('\0')?.to_string(), *version)));
    rules.collect()
}

/// Sends the rules that a follower lacks.
pub fn send(committed_state: &CommittedState, follower: &mut Follower) {
    for (key, rule) in &committed_state.rules {
        let has = follower.closed.entry(HiddenKey::Register(key).into()).or_default();
        if rule.version <= *has {
            continue;
        }
        match follower.mouth.notify(&Message::StalenessLimit(Box::new(rule.clone()))) {
            true => *has = rule.version,
            false => follower.behind = true,
        }
    }
}

/// From a commit on, how long a router that has not heard of it may still send bound work: its controller may
/// be sure of what it read before for `SURE_MS`, and the lease that it then renews lasts `LEASE_MS`.
pub const WAIT_MS: u64 = SURE_MS + LEASE_MS + 200;
/// The pause between looks, and how long a controller may take to answer one.
const LOOK_MS: u64 = 60;
const ANSWER_MS: u64 = 400;

impl Controller {
    /// Has this follower confirmed every rule known here?
    pub fn confirmed(&self, follower: &Follower) -> bool {
        let has = |key: &str, version: u64| follower.rules.get(key).is_some_and(|confirmed| *confirmed >= version);
        self.committed.read(|state| state.rules.iter().all(|(key, rule)| has(key, rule.version)))
    }

    /// Routers that hold a lease here, and how many of them have confirmed a rule. None counts as
    /// confirmed while it is not known here.
    pub fn settled(&self, key: &str, version: u64, now: u64) -> (u32, u32) {
        let known = self.committed.staleness_limit(key).is_some_and(|rule| rule.version >= version);
        let (all, good) = self.subscribers.confirmations(key, version, now);
        // Not yet learned, or started so lately that routers may hold a lease from a life before: whoever asks
        // must ask again.
        match known && now >= WAIT_MS {
            true => (all, good),
            false => (all.max(1), 0),
        }
    }

    /// Asks all other controllers. None for one that did not answer.
    pub async fn ask_settled(&self, key: &str, version: u64) -> Vec<Option<(u32, u32)>> {
        let asks = self.known().into_iter().map(|ip| {
            let peer = self.peers.client(&ip);
            async move {
                let msg = Message::CountConfirmations(Box::new((key.to_string(), version)));
                match peer.call(msg, ANSWER_MS).await {
                    Some(Message::ConfirmationCount(reply)) => Some(*reply),
                    _ => None,
                }
            }
        });
        let mut list = future::join_all(asks).await;
        list.push(Some(self.settled(key, version, clock::now())));
        list
    }

    /// Waits until no router can send bound work under an older rule: each has confirmed this one or its
    /// lease has lapsed. False: one keeps its lease without confirming.
    pub async fn settle_rule(&self, key: &str, version: u64) -> bool {
        let begun = clock::now();
        loop {
            let list = self.ask_settled(key, version).await;
            let late = clock::now() >= begun + WAIT_MS;
            // Who does not answer can be waited out; who answers must have settled.
            let good = list.iter().all(|reply| reply.map_or(late, |(all, good)| all == good));
            if good || late {
                return good;
            }
            time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Sends the weight versions that a follower lacks.
    pub fn send_weights(&self, follower: &mut Follower) {
        self.engines.for_each_weight_versions(|(zone, list)| {
            let has = follower.sheets.entry(HiddenKey::WeightVersions(zone).into()).or_default();
            let version = (list.term, list.sequence);
            if *has == version {
                return;
            }
            match follower.mouth.notify(&Message::WeightVersions(Box::new(list.clone()))) {
                true => *has = version,
                false => follower.behind = true,
            }
        });
    }
}

/// Versions from the poller of a zone, or from the own poll.
pub fn hear(controller: &Controller, list: WeightVersions) {
    if controller.engines.accept_weight_versions(list) {
        controller.push();
    }
}

/// What the poller of a zone saw, asked for only while there are rules.
pub fn seen(controller: &Controller, zone: &str, list: Vec<EngineWeights>, again: bool) {
    let held = controller.engines.weight_versions(zone);
    let same = held.term == controller.seat && held.list == list;
    if same && !again {
        return;
    }
    let count = held.sequence + u64::from(!same);
    let next = WeightVersions { zone: zone.into(), term: controller.seat, sequence: count, list };
    controller.notify_peers(&Message::WeightVersions(Box::new(next.clone())));
    hear(controller, next);
}
