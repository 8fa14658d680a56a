//! The controllers that a router may ask, in its own order, and those passed over for a while.

use std::collections::{BTreeMap, HashSet};

use kernel::hashing;

/// How long a controller that fell silent, or proved nothing, is passed over while there is another. Each time it
/// happens again soon the time doubles, so that one that is gone for good costs little.
const UNRESPONSIVE_BACKOFF_MS: u64 = 5000;
const UNPROVED_BACKOFF_MS: u64 = 2500;
const MAX_DOUBLINGS: u32 = 3;
/// One that did well for so long starts anew.
const BACKOFF_RESET_MS: u64 = 30_000;

/// Why a controller is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffReason {
    /// It was not reached, or gave no answer.
    Unresponsive,
    /// It answered without a proof that is young enough.
    Unproved,
}

/// Which list a candidate is looked for in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// Members of the core, which confirm without a relay between.
    Core,
    /// All, in the router's own order.
    OwnOrder,
}

/// Until when, and how often again soon after the time before.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    until: u64,
    repetitions: u32,
}

/// Invariant: no list names a controller twice.
#[derive(Clone, Debug)]
pub struct Candidates {
    node: u64,
    own_ip: String,
    /// All that are known: as controllers told them, nearest first, then members and seeds.
    order: Vec<String>,
    reported: Vec<String>,
    members: Vec<String>,
    seeds: Vec<String>,
    backoffs: BTreeMap<String, Backoff>,
}

impl Candidates {
    /// Before a controller has answered only the seeds are known; one on the own machine comes first.
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

    /// A settings file names other seeds.
    pub fn set_seeds(&mut self, seeds: &[String]) {
        self.seeds = self.shuffled(seeds);
        self.seeds.sort_by_key(|ip| *ip != self.own_ip);
        self.rebuild();
    }

    /// What an answer told; an empty list tells nothing.
    pub fn update(&mut self, reported: &[String], members: &[String]) {
        if !reported.is_empty() {
            self.reported = reported.to_vec();
        }
        if !members.is_empty() {
            self.members = self.shuffled(members);
        }
        self.rebuild();
    }

    /// An order of this router's own, so that all routers together spread over a list.
    fn shuffled(&self, list: &[String]) -> Vec<String> {
        let mut list = list.to_vec();
        list.sort_by_key(|ip| hashing::combine(self.node, hashing::hash(ip.as_bytes())));
        list.dedup();
        list
    }

    fn rebuild(&mut self) {
        let mut seen = HashSet::new();
        let all = self.reported.iter().chain(&self.members).chain(&self.seeds);
        self.order = all.filter(|ip| seen.insert(ip.as_str())).cloned().collect();
        let order = &self.order;
        self.backoffs.retain(|ip, _| order.contains(ip));
    }

    /// The first in a list that may be asked: those asked less often before those asked more often, and those
    /// passed over last, the one left first before others.
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

    /// 0 for one that is not passed over.
    fn backoff_until(&self, ip: &str, now: u64) -> u64 {
        self.backoffs.get(ip).map(|backoff| backoff.until).filter(|until| *until > now).unwrap_or(0)
    }

    pub fn is_backed_off(&self, ip: &str, now: u64) -> bool {
        self.backoff_until(ip, now) > 0
    }

    /// Is `ip` before `other` in the own order, and not passed over?
    pub fn is_nearer(&self, ip: &str, other: &str, now: u64) -> bool {
        let position_of = |wanted: &str| self.order.iter().position(|ip| ip == wanted).unwrap_or(usize::MAX);
        !self.is_backed_off(ip, now) && position_of(ip) < position_of(other)
    }

    /// The first in the own order that is not passed over.
    pub fn nearest(&self, now: u64) -> Option<&String> {
        self.order.iter().find(|ip| !self.is_backed_off(ip, now))
    }

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

    /// It has given a proof: it is as good as any.
    pub fn end_backoff(&mut self, ip: &str, now: u64) {
        if let Some(backoff) = self.backoffs.get_mut(ip) {
            backoff.until = backoff.until.min(now);
        }
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
