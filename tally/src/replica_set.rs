//! Which replicas have what on disk, who is in reach, and when an entry may be acknowledged.

use std::collections::{BTreeMap, BTreeSet};

use crate::log::Dot;
use crate::version_vector::VersionVector;

/// A replica is in reach for so long after its last answer, in milliseconds: more than two rounds, and than one call may take.
/// Below a second, so that what is added in the first moment of a partition is acknowledged before its caller gives up.
pub const REACH_MS: u64 = 850;
/// A longer time in which nothing was observed is a pause of this process, in milliseconds: rounds come more often.
const OWN_PAUSE_MS: u64 = 600;

/// On how many disks, in how many zones, an entry must be before it is acknowledged outside a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Redundancy {
    /// Disks.
    pub replicas: usize,
    /// Zones.
    pub zones: usize,
}

/// Another replica as it answered last.
#[derive(Clone, Debug)]
struct Peer {
    zone: String,
    /// What it has on its disk. Replaced by each answer: a replica that lost its disk has less than before.
    durable: VersionVector,
    /// When it last answered, or became known.
    heard_at: u64,
    caught_up: bool,
    /// It answered at least once.
    has_answered: bool,
}

/// The replicas as one of them knows them.
#[derive(Clone, Debug)]
pub struct ReplicaSet {
    own_zone: String,
    redundancy: Redundancy,
    own_durable: VersionVector,
    peers: BTreeMap<String, Peer>,
    /// When this process last looked at the clock; 0 before the first time.
    observed_at: u64,
}

impl ReplicaSet {
    /// Returns the set of a replica that knows no other, and whose disk holds `own_durable`.
    pub fn new(own_zone: &str, redundancy: Redundancy, own_durable: VersionVector) -> ReplicaSet {
        ReplicaSet { own_zone: own_zone.into(), redundancy, own_durable, peers: BTreeMap::new(), observed_at: 0 }
    }

    /// Notes that this process runs at `now`. If it stood still before, the others could not be heard meanwhile: they get as
    /// long again.
    pub fn observe_time(&mut self, now: u64) {
        let gap = now.saturating_sub(self.observed_at);
        if self.observed_at > 0 && gap > OWN_PAUSE_MS {
            self.peers.values_mut().for_each(|peer| peer.heard_at = now.min(peer.heard_at + gap));
        }
        self.observed_at = now;
    }

    /// Notes a controller that may be a replica: it is waited for as if it had just answered.
    pub fn discover(&mut self, ip: &str, zone: &str, now: u64) {
        let unknown = || Peer {
            zone: String::new(),
            durable: VersionVector::default(),
            heard_at: now,
            caught_up: false,
            has_answered: false,
        };
        self.peers.entry(ip.into()).or_insert_with(unknown);
        self.set_zone(ip, zone);
    }

    /// Notes the zone of a replica, if it is known by now.
    pub fn set_zone(&mut self, ip: &str, zone: &str) {
        if let Some(peer) = self.peers.get_mut(ip).filter(|_| !zone.is_empty()) {
            peer.zone = zone.into();
        }
    }

    /// Forgets a controller that keeps no tallies.
    pub fn forget(&mut self, ip: &str) {
        self.peers.remove(ip);
    }

    /// Notes what a replica answered at `now`.
    pub fn record_answer(&mut self, ip: &str, durable: VersionVector, caught_up: bool, now: u64) {
        if let Some(peer) = self.peers.get_mut(ip) {
            (peer.durable, peer.heard_at, peer.caught_up, peer.has_answered) = (durable, now, caught_up, true);
        }
    }

    /// Notes that the own disk holds this much.
    pub fn record_own(&mut self, durable: &VersionVector) {
        for version in durable.iter() {
            self.own_durable.advance(version.origin, version.length);
        }
    }

    /// Returns what the own disk holds.
    pub fn own_durable(&self) -> &VersionVector {
        &self.own_durable
    }

    /// Returns what a replica had on its disk when it answered last; `None` if it never did.
    pub fn durable_at(&self, ip: &str) -> Option<&VersionVector> {
        self.peers.get(ip).filter(|peer| peer.has_answered).map(|peer| &peer.durable)
    }

    fn in_reach(&self, now: u64) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.heard_at + REACH_MS > now)
    }

    /// Returns whether an entry may be acknowledged: it is on the own disk, and either on as many as any loss to be borne
    /// requires, or on those of all replicas in reach.
    pub fn is_durable(&self, dot: Dot, now: u64) -> bool {
        if !self.own_durable.contains(dot) {
            return false;
        }
        let holders: Vec<&Peer> = self.peers.values().filter(|peer| peer.durable.contains(dot)).collect();
        let zones: BTreeSet<&str> =
            holders.iter().map(|peer| peer.zone.as_str()).chain([self.own_zone.as_str()]).collect();
        let is_redundant = holders.len() + 1 >= self.redundancy.replicas && zones.len() >= self.redundancy.zones;
        is_redundant || self.in_reach(now).all(|peer| peer.durable.contains(dot))
    }

    /// Returns whether everything that the replicas in reach had when they answered last is on the own disk, and all of
    /// them have answered. `needs_informed`: at least one must have caught up itself.
    pub fn has_caught_up(&self, needs_informed: bool, now: u64) -> bool {
        let is_covered = self.in_reach(now).all(|peer| peer.has_answered && self.own_durable.covers(&peer.durable));
        let is_informed = self.in_reach(now).any(|peer| peer.has_answered && peer.caught_up);
        is_covered && (is_informed || !needs_informed)
    }

    /// Returns how many other replicas are known, and how many of them are in reach.
    pub fn counts(&self, now: u64) -> (usize, usize) {
        (self.peers.len(), self.in_reach(now).count())
    }
}

#[cfg(test)]
#[path = "replica_set_tests.rs"]
mod tests;
