//! The controllers that a router may ask, in its own order, and those passed over for a while.

use std::collections::{BTreeMap, HashSet};

use kernel::hashing;

/// How long a controller that fell silent, or proved nothing, is passed over while there is another. Each time it
/// happens again soon the time doubles, so that one that is gone for good costs little.
const LOST_MS: u64 = 5000;
const UNPROVED_MS: u64 = 2500;
const DOUBLINGS_MOST: u32 = 3;
/// One that did well for so long starts anew.
const FORGIVEN_MS: u64 = 30_000;

/// Why a controller is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It was not reached, or gave no answer.
    Lost,
    /// It answered without a proof that is young enough.
    Unproved,
}

/// Which list a candidate is looked for in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// Members of the core, which confirm without a relay between.
    Core,
    /// All, in the router's own order.
    Order,
}

/// Until when, and how often again soon after the time before.
#[derive(Clone, Copy, Debug, Default)]
struct PassedOver {
    until: u64,
    times: u32,
}

/// Invariant: no list names a controller twice.
#[derive(Clone, Debug)]
pub struct Candidates {
    node: u64,
    own_ip: String,
    /// All that are known: as controllers told them, nearest first, then members and seeds.
    order: Vec<String>,
    told: Vec<String>,
    members: Vec<String>,
    seeds: Vec<String>,
    passed_over: BTreeMap<String, PassedOver>,
}

impl Candidates {
    /// Before a controller has answered only the seeds are known; one on the own machine comes first.
    pub fn new(node_name: &str, own_ip: &str, seeds: &[String]) -> Candidates {
        let mut candidates = Candidates {
            node: hashing::hash(node_name.as_bytes()),
            own_ip: own_ip.into(),
            order: Vec::new(),
            told: Vec::new(),
            members: Vec::new(),
            seeds: Vec::new(),
            passed_over: Default::default(),
        };
        candidates.set_seeds(seeds);
        candidates
    }

    /// A settings file names other seeds.
    pub fn set_seeds(&mut self, seeds: &[String]) {
        self.seeds = self.rotated(seeds);
        self.seeds.sort_by_key(|ip| *ip != self.own_ip);
        self.rebuild();
    }

    /// What an answer told; an empty list tells nothing.
    pub fn learn(&mut self, told: &[String], members: &[String]) {
        if !told.is_empty() {
            self.told = told.to_vec();
        }
        if !members.is_empty() {
            self.members = self.rotated(members);
        }
        self.rebuild();
    }

    /// An order of this router's own, so that all routers together spread over a list.
    fn rotated(&self, list: &[String]) -> Vec<String> {
        let mut list = list.to_vec();
        list.sort_by_key(|ip| hashing::combine(self.node, hashing::hash(ip.as_bytes())));
        list.dedup();
        list
    }

    fn rebuild(&mut self) {
        let mut seen = HashSet::new();
        let all = self.told.iter().chain(&self.members).chain(&self.seeds);
        self.order = all.filter(|ip| seen.insert(ip.as_str())).cloned().collect();
        let order = &self.order;
        self.passed_over.retain(|ip, _| order.contains(ip));
    }

    /// The first in a list that may be asked: those asked less often before those asked more often, and those
    /// passed over last, the one left first before others.
    pub fn pick(&self, list: List, now: u64, asked: impl Fn(&str) -> Option<u32>) -> Option<String> {
        let list = match list {
            List::Core => &self.members,
            List::Order => &self.order,
        };
        let free = list.iter().filter_map(|ip| asked(ip).map(|times| (ip, times)));
        free.min_by_key(|(ip, times)| (self.passed_over_until(ip, now) > 0, *times, self.passed_over_until(ip, now)))
            .map(|(ip, _)| ip.clone())
    }

    /// 0 for one that is not passed over.
    fn passed_over_until(&self, ip: &str, now: u64) -> u64 {
        self.passed_over.get(ip).map(|passed| passed.until).filter(|until| *until > now).unwrap_or(0)
    }

    pub fn is_passed_over(&self, ip: &str, now: u64) -> bool {
        self.passed_over_until(ip, now) > 0
    }

    /// Is `ip` before `other` in the own order, and not passed over?
    pub fn is_nearer(&self, ip: &str, other: &str, now: u64) -> bool {
        let place = |wanted: &str| self.order.iter().position(|ip| ip == wanted).unwrap_or(usize::MAX);
        !self.is_passed_over(ip, now) && place(ip) < place(other)
    }

    /// The first in the own order that is not passed over.
    pub fn nearest(&self, now: u64) -> Option<&String> {
        self.order.iter().find(|ip| !self.is_passed_over(ip, now))
    }

    pub fn pass_over(&mut self, ip: &str, fault: Fault, now: u64) {
        let span = match fault {
            Fault::Lost => LOST_MS,
            Fault::Unproved => UNPROVED_MS,
        };
        let Some(passed) = self.passed_over.get_mut(ip) else {
            self.passed_over.insert(ip.into(), PassedOver { until: now + span, times: 0 });
            return;
        };
        if now < passed.until {
            passed.until = passed.until.max(now + span);
            return;
        }
        passed.times = if now > passed.until + FORGIVEN_MS { 0 } else { passed.times + 1 };
        passed.until = now + (span << passed.times.min(DOUBLINGS_MOST));
    }

    /// It has given a proof: it is as good as any.
    pub fn restore(&mut self, ip: &str, now: u64) {
        if let Some(passed) = self.passed_over.get_mut(ip) {
            passed.until = passed.until.min(now);
        }
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
