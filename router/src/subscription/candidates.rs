//! The controllers that a router may ask, in an order of its own, and their backoff after failures.

use std::collections::{BTreeMap, HashSet};

use kernel::hashing;

/// How long a controller that became unresponsive is avoided while there is another, in milliseconds. Each
/// repetition soon afterwards doubles it, so that one that is gone for good costs little.
const UNRESPONSIVE_BACKOFF_MS: u64 = 5000;
/// The same for one that responded without a fresh proof.
const UNPROVED_BACKOFF_MS: u64 = 2500;
/// How often a backoff is doubled at most.
const MAX_DOUBLINGS: u32 = 3;
/// How long after a backoff a new failure counts as the first again, in milliseconds.
const BACKOFF_RESET_MS: u64 = 30_000;

/// Why a controller is avoided for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffReason {
    /// It was not reached, or sent no response.
    Unresponsive,
    /// It responded without a proof that is fresh enough.
    Unproved,
}

/// The list in which a candidate is searched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// Members of the core, which confirm without a relay in between.
    Core,
    /// All controllers, in the router's own order.
    OwnOrder,
}

/// A backoff: its end, and how many times in a row it was repeated.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    until: u64,
    repetitions: u32,
}

/// The controllers that are known. Invariant: no list names a controller twice.
#[derive(Clone, Debug)]
pub struct Candidates {
    /// The hash of the router's name, which seeds its own order.
    node: u64,
    own_ip: String,
    /// All that are known: those reported by controllers, nearest first, then members and seeds.
    order: Vec<String>,
    reported: Vec<String>,
    members: Vec<String>,
    seeds: Vec<String>,
    backoffs: BTreeMap<String, Backoff>,
}

impl Candidates {
    /// Returns candidates that know the seeds only; one on the router's own machine comes first.
    pub fn new(node_name: &str, own_ip: &str, seeds: &[String]) -> Candidates {
        let mut candidates = Candidates {
            node: hashing::hash(node_name.as_bytes()),
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

    /// Replaces the seeds with those of a settings file.
    pub fn set_seeds(&mut self, seeds: &[String]) {
        self.seeds = self.shuffled(seeds);
        self.seeds.sort_by_key(|ip| *ip != self.own_ip);
        self.rebuild();
    }

    /// Takes the lists of a response; an empty list changes nothing.
    pub fn update(&mut self, reported: &[String], members: &[String]) {
        if !reported.is_empty() {
            self.reported = reported.to_vec();
        }
        if !members.is_empty() {
            self.members = self.shuffled(members);
        }
        self.rebuild();
    }

    /// Returns a list in an order of this router's own, so that all routers together spread over it.
    fn shuffled(&self, list: &[String]) -> Vec<String> {
        let mut list = list.to_vec();
        list.sort_by_key(|ip| hashing::combine(self.node, hashing::hash(ip.as_bytes())));
        list.dedup();
        list
    }

    /// Rebuilds the order from the lists, and drops backoffs of controllers that are no longer known.
    fn rebuild(&mut self) {
        let mut seen = HashSet::new();
        let all = self.reported.iter().chain(&self.members).chain(&self.seeds);
        self.order = all.filter(|ip| seen.insert(ip.as_str())).cloned().collect();
        let order = &self.order;
        self.backoffs.retain(|ip, _| order.contains(ip));
    }

    /// Picks the controller to ask next: those with fewer `attempts` before others, and those in backoff last, the
    /// one whose backoff ends first before others. `attempts` returns `None` for one that may not be asked.
    pub fn pick(&self, list: List, now: u64, attempts: impl Fn(&str) -> Option<u32>) -> Option<String> {
        let list = match list {
            List::Core => &self.members,
            List::OwnOrder => &self.order,
        };
        let candidates = list.iter().filter_map(|ip| attempts(ip).map(|times| (ip, times)));
        candidates
            .min_by_key(|(ip, times)| (self.backoff_until(ip, now) > 0, *times, self.backoff_until(ip, now)))
            .map(|(ip, _)| ip.clone())
    }

    /// Returns the end of a backoff, 0 without one.
    fn backoff_until(&self, ip: &str, now: u64) -> u64 {
        self.backoffs.get(ip).map(|backoff| backoff.until).filter(|until| *until > now).unwrap_or(0)
    }

    /// Returns whether a controller is in backoff.
    pub fn is_backed_off(&self, ip: &str, now: u64) -> bool {
        self.backoff_until(ip, now) > 0
    }

    /// Returns whether `ip` stands before `other` in the router's own order and is not in backoff.
    pub fn is_nearer(&self, ip: &str, other: &str, now: u64) -> bool {
        let position_of = |wanted: &str| self.order.iter().position(|ip| ip == wanted).unwrap_or(usize::MAX);
        !self.is_backed_off(ip, now) && position_of(ip) < position_of(other)
    }

    /// Returns the first in the router's own order that is not in backoff.
    pub fn nearest(&self, now: u64) -> Option<&String> {
        self.order.iter().find(|ip| !self.is_backed_off(ip, now))
    }

    /// Begins or extends a backoff. A failure during one does not count as a repetition.
    pub fn back_off(&mut self, ip: &str, reason: BackoffReason, now: u64) {
        let span = match reason {
            BackoffReason::Unresponsive => UNRESPONSIVE_BACKOFF_MS,
            BackoffReason::Unproved => UNPROVED_BACKOFF_MS,
        };
        let Some(backoff) = self.backoffs.get_mut(ip) else {
            self.backoffs.insert(ip.into(), Backoff { until: now + span, repetitions: 0 });
            return;
        };
        if now < backoff.until {
            backoff.until = backoff.until.max(now + span);
            return;
        }
        backoff.repetitions = if now > backoff.until + BACKOFF_RESET_MS { 0 } else { backoff.repetitions + 1 };
        backoff.until = now + (span << backoff.repetitions.min(MAX_DOUBLINGS));
    }

    /// Ends a backoff because the controller gave a proof; its repetitions are remembered for a while.
    pub fn end_backoff(&mut self, ip: &str, now: u64) {
        if let Some(backoff) = self.backoffs.get_mut(ip) {
            backoff.until = backoff.until.min(now);
        }
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
