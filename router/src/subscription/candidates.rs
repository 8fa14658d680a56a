//! The controllers that a router may call, in the router's own order of preference, and their backoff after failures.

use std::collections::{BTreeMap, HashSet};

use kernel::hashing;

/// Initial backoff of a controller that became unresponsive, in milliseconds: it is called only if all others are in
/// backoff too. Each repeated failure doubles the backoff, so that a permanently failed controller costs little.
const UNRESPONSIVE_BACKOFF_MS: u64 = 5000;
/// Initial backoff of a controller that responded without a fresh proof, in milliseconds.
const UNPROVED_BACKOFF_MS: u64 = 2500;
/// The maximum number of times that a backoff is doubled.
const MAX_DOUBLINGS: u32 = 3;
/// How long after the end of a backoff the next failure starts again at the initial backoff, in milliseconds.
const BACKOFF_RESET_MS: u64 = 30_000;

/// Why a controller is in backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffReason {
    /// It could not be reached or sent no response.
    Unresponsive,
    /// It responded without a proof that is fresh enough.
    Unproved,
}

/// The list from which a candidate is picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateList {
    /// Members of the core, which confirm a configuration without a relay in between.
    Core,
    /// All controllers, in the router's own order.
    RouterOrder,
}

/// The end of a backoff, and how many times in a row it was repeated.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    until: u64,
    repetitions: u32,
}

/// The known controllers. Invariant: no list names a controller twice.
#[derive(Clone, Debug)]
pub struct Candidates {
    /// The hash of the router's name, which seeds its order of controllers.
    node_hash: u64,
    own_ip: String,
    /// All known controllers: those reported by controllers, nearest first, then members of the core and seeds.
    order: Vec<String>,
    reported: Vec<String>,
    members: Vec<String>,
    seeds: Vec<String>,
    backoffs: BTreeMap<String, Backoff>,
}

impl Candidates {
    /// Returns candidates that consist of the seeds; a seed on the router's own machine comes first.
    pub fn new(node_name: &str, own_ip: &str, seeds: &[String]) -> Candidates {
        let mut candidates = Candidates {
            node_hash: hashing::hash(node_name.as_bytes()),
            own_ip: own_ip.into(),
            order: Vec::new(),
            reported: Vec::new(),
            members: Vec::new(),
            seeds: Vec::new(),
            backoffs: Default::default(),
        };
        candidates.set_seeds(seeds);
        candidates
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[String]) {
        self.seeds = self.shuffled(seeds);
        self.seeds.sort_by_key(|ip| *ip != self.own_ip);
        self.rebuild();
    }

    /// Replaces the reported controllers and the members of the core with those of a response; an empty list changes
    /// nothing.
    pub fn update(&mut self, reported: &[String], members: &[String]) {
        if !reported.is_empty() {
            self.reported = reported.to_vec();
        }
        if !members.is_empty() {
            self.members = self.shuffled(members);
        }
        self.rebuild();
    }

    /// Returns a list in an order that depends on the router's name, so that routers spread evenly over the list.
    fn shuffled(&self, list: &[String]) -> Vec<String> {
        let mut list = list.to_vec();
        list.sort_by_key(|ip| hashing::combine(self.node_hash, hashing::hash(ip.as_bytes())));
        list.dedup();
        list
    }

    /// Rebuilds the order from the three lists, and drops the backoffs of controllers that are no longer known.
    fn rebuild(&mut self) {
        let mut seen = HashSet::new();
        let all = self.reported.iter().chain(&self.members).chain(&self.seeds);
        self.order = all.filter(|ip| seen.insert(ip.as_str())).cloned().collect();
        let order = &self.order;
        self.backoffs.retain(|ip, _| order.contains(ip));
    }

    /// Picks the controller to call next: one that is not in backoff before others, then the one with the fewest
    /// `attempts`, then the one whose backoff ends first. `attempts` returns `None` for one that must not be called.
    pub fn pick(&self, list: CandidateList, now: u64, attempts: impl Fn(&str) -> Option<u32>) -> Option<String> {
        let list = match list {
            CandidateList::Core => &self.members,
            CandidateList::RouterOrder => &self.order,
        };
        let candidates = list.iter().filter_map(|ip| attempts(ip).map(|count| (ip, count)));
        candidates
            .min_by_key(|(ip, count)| (self.backoff_until(ip, now) > 0, *count, self.backoff_until(ip, now)))
            .map(|(ip, _)| ip.clone())
    }

    /// Returns the end of a controller's backoff; 0 if it is not in backoff.
    fn backoff_until(&self, ip: &str, now: u64) -> u64 {
        self.backoffs.get(ip).map(|backoff| backoff.until).filter(|until| *until > now).unwrap_or(0)
    }

    /// Returns whether a controller is in backoff.
    pub fn is_backed_off(&self, ip: &str, now: u64) -> bool {
        self.backoff_until(ip, now) > 0
    }

    /// Returns whether `ip` is not in backoff and comes before `other` in the router's order.
    pub fn is_nearer(&self, ip: &str, other: &str, now: u64) -> bool {
        let position_of = |wanted_ip: &str| self.order.iter().position(|ip| ip == wanted_ip).unwrap_or(usize::MAX);
        !self.is_backed_off(ip, now) && position_of(ip) < position_of(other)
    }

    /// Returns the first controller in the router's order that is not in backoff.
    pub fn nearest(&self, now: u64) -> Option<&String> {
        self.order.iter().find(|ip| !self.is_backed_off(ip, now))
    }

    /// Begins or extends a backoff. A failure during a backoff does not count as a repetition.
    pub fn back_off(&mut self, ip: &str, reason: BackoffReason, now: u64) {
        let backoff_ms = match reason {
            BackoffReason::Unresponsive => UNRESPONSIVE_BACKOFF_MS,
            BackoffReason::Unproved => UNPROVED_BACKOFF_MS,
        };
        let Some(backoff) = self.backoffs.get_mut(ip) else {
            self.backoffs.insert(ip.into(), Backoff { until: now + backoff_ms, repetitions: 0 });
            return;
        };
        if now < backoff.until {
            backoff.until = backoff.until.max(now + backoff_ms);
            return;
        }
        backoff.repetitions = if now > backoff.until + BACKOFF_RESET_MS { 0 } else { backoff.repetitions + 1 };
        backoff.until = now + (backoff_ms << backoff.repetitions.min(MAX_DOUBLINGS));
    }

    /// Ends a backoff because the controller gave a proof. The number of repetitions is kept until it is reset.
    pub fn end_backoff(&mut self, ip: &str, now: u64) {
        if let Some(backoff) = self.backoffs.get_mut(ip) {
            backoff.until = backoff.until.min(now);
        }
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
