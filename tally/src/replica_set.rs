//! Tracks which entries each replica has on disk and which replicas are in reach, and decides when an entry may be
//! acknowledged.

use std::collections::{BTreeMap, BTreeSet};

use crate::log::Dot;
use crate::version_vector::VersionVector;

/// How long a replica counts as in reach after its last answer, in milliseconds. Longer than two exchange rounds and
/// than the timeout of one call; below a second, so that an addition at the start of a partition is acknowledged before
/// its caller times out.
pub const REACH_MS: u64 = 850;
/// Gap between two observations of the clock above which this process must have been paused, in milliseconds. Rounds
/// are more frequent than that.
const PAUSE_THRESHOLD_MS: u64 = 600;

/// How many disks, in how many zones, must have an entry before it is acknowledged, unless all replicas in reach have
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Redundancy {
    /// Required number of disks, the own one included.
    pub replicas: usize,
    /// Required number of zones, the own one included.
    pub zones: usize,
}

/// The last known state of another replica.
#[derive(Clone, Debug)]
struct Peer {
    zone: String,
    /// The entries on its disk. Each answer replaces this, since a replica that lost its disk has fewer than before.
    durable: VersionVector,
    /// When it last answered or was discovered, in milliseconds.
    last_heard_at: u64,
    caught_up: bool,
    /// Whether it answered at least once.
    has_answered: bool,
}

/// The set of replicas from the viewpoint of one of them.
#[derive(Clone, Debug)]
pub struct ReplicaSet {
    own_zone: String,
    redundancy: Redundancy,
    own_durable: VersionVector,
    peers: BTreeMap<String, Peer>,
    /// When this process last observed the clock, in milliseconds; 0 before the first time.
    observed_at: u64,
}

impl ReplicaSet {
    /// Returns the set of a replica that knows no other replicas and has the entries `own_durable` on its disk.
    pub fn new(own_zone: &str, redundancy: Redundancy, own_durable: VersionVector) -> ReplicaSet {
        ReplicaSet { own_zone: own_zone.into(), redundancy, own_durable, peers: BTreeMap::new(), observed_at: 0 }
    }

    /// Records that this process is running at `now`. Responses could not arrive while it was paused, so a pause moves
    /// the time of the last response of each peer forward by its length, at most to `now`.
    pub fn observe_time(&mut self, now: u64) {
        let gap = now.saturating_sub(self.observed_at);
        if self.observed_at > 0 && gap > PAUSE_THRESHOLD_MS {
            self.peers.values_mut().for_each(|peer| peer.last_heard_at = now.min(peer.last_heard_at + gap));
        }
        self.observed_at = now;
    }

    /// Adds a controller that may be a replica. It counts as in reach, as if it had just answered.
    pub fn discover(&mut self, ip: &str, zone: &str, now: u64) {
        let new_peer = || Peer {
            zone: String::new(),
            durable: VersionVector::default(),
            last_heard_at: now,
            caught_up: false,
            has_answered: false,
        };
        self.peers.entry(ip.into()).or_insert_with(new_peer);
        self.set_zone(ip, zone);
    }

    /// Sets the zone of a known replica; an empty zone is ignored.
    pub fn set_zone(&mut self, ip: &str, zone: &str) {
        if let Some(peer) = self.peers.get_mut(ip).filter(|_| !zone.is_empty()) {
            peer.zone = zone.into();
        }
    }

    /// Removes a controller that does not store tallies.
    pub fn forget(&mut self, ip: &str) {
        self.peers.remove(ip);
    }

    /// Records the answer of a replica at `now`.
    pub fn record_answer(&mut self, ip: &str, durable: VersionVector, caught_up: bool, now: u64) {
        if let Some(peer) = self.peers.get_mut(ip) {
            (peer.durable, peer.last_heard_at, peer.caught_up, peer.has_answered) = (durable, now, caught_up, true);
        }
    }

    /// Records which entries are on the own disk.
    pub fn record_own(&mut self, durable: &VersionVector) {
        for version in durable.iter() {
            self.own_durable.advance(version.origin, version.length);
        }
    }

    /// Returns which entries are on the own disk.
    pub fn own_durable(&self) -> &VersionVector {
        &self.own_durable
    }

    /// Returns which entries a replica had on its disk when it last answered; `None` if it never did.
    pub fn durable_at(&self, ip: &str) -> Option<&VersionVector> {
        self.peers.get(ip).filter(|peer| peer.has_answered).map(|peer| &peer.durable)
    }

    fn in_reach(&self, now: u64) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.last_heard_at + REACH_MS > now)
    }

    /// Returns whether an entry may be acknowledged: it is on the own disk, and either on enough disks and zones for
    /// the required [`Redundancy`] or on the disks of all replicas in reach.
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

    /// Returns whether all replicas in reach have answered, and all entries that they had then are on the own disk.
    /// With `needs_caught_up_peer`, at least one of them must have caught up itself.
    pub fn has_caught_up(&self, needs_caught_up_peer: bool, now: u64) -> bool {
        let is_covered = self.in_reach(now).all(|peer| peer.has_answered && self.own_durable.covers(&peer.durable));
        let has_caught_up_peer = self.in_reach(now).any(|peer| peer.has_answered && peer.caught_up);
        is_covered && (has_caught_up_peer || !needs_caught_up_peer)
    }

    /// Returns the number of other replicas that are known, and of those in reach.
    pub fn counts(&self, now: u64) -> (usize, usize) {
        (self.peers.len(), self.in_reach(now).count())
    }
}

#[cfg(test)]
#[path = "replica_set_tests.rs"]
mod tests;
