//! Tracks which entries each replica has on disk, which replicas are in reach, and whether the others are lost or behind
//! a network partition, and decides when an entry may be acknowledged.

use std::collections::{BTreeMap, BTreeSet};

use crate::log::Dot;
use crate::version_vector::VersionVector;
use crate::zone_contact::{ZoneContact, PROBE_AFTER_MS, REACH_MS};

/// Gap between two observations of the clock above which this process must have been paused, in milliseconds. Rounds
/// are more frequent than that.
const PAUSE_THRESHOLD_MS: u64 = 600;

/// How many disks, in how many zones, must have an entry before it is acknowledged, unless a partition separates this
/// replica from the others.
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
    /// The zones of the controllers that store tallies according to the core membership, by address. Some of them may
    /// never have answered since this process started.
    members: BTreeMap<String, String>,
    /// Controllers that answered that they have no replica.
    without_replica: BTreeSet<String>,
    /// Contact with the processes of each other zone.
    contacts: BTreeMap<String, ZoneContact>,
    /// When this process last observed the clock, in milliseconds; 0 before the first time.
    observed_at: u64,
    /// When the last pause of this process ended, in milliseconds.
    resumed_at: u64,
}

impl ReplicaSet {
    /// Returns the set of a replica that knows no other replicas and has the entries `own_durable` on its disk.
    pub fn new(own_zone: &str, redundancy: Redundancy, own_durable: VersionVector) -> ReplicaSet {
        ReplicaSet {
            own_zone: own_zone.into(),
            redundancy,
            own_durable,
            peers: BTreeMap::new(),
            members: BTreeMap::new(),
            without_replica: BTreeSet::new(),
            contacts: BTreeMap::new(),
            observed_at: 0,
            resumed_at: 0,
        }
    }

    /// Records that this process is running at `now`. Responses could not arrive while it was paused, so a pause moves
    /// the time of the last response of each peer forward by its length, at most to `now`.
    pub fn observe_time(&mut self, now: u64) {
        let gap = now.saturating_sub(self.observed_at);
        if self.observed_at > 0 && gap > PAUSE_THRESHOLD_MS {
            self.peers.values_mut().for_each(|peer| peer.last_heard_at = now.min(peer.last_heard_at + gap));
            self.contacts.values_mut().for_each(|contact| contact.extend_by_pause(gap, now));
            self.resumed_at = now;
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
        self.without_replica.remove(ip);
        self.peers.entry(ip.into()).or_insert_with(new_peer);
        self.set_zone(ip, zone);
    }

    /// Sets the zone of a known replica; an empty zone is ignored.
    pub fn set_zone(&mut self, ip: &str, zone: &str) {
        if let Some(peer) = self.peers.get_mut(ip).filter(|_| !zone.is_empty()) {
            peer.zone = zone.into();
        }
    }

    /// Sets the controllers that store tallies according to the core membership, with their zones. They count as
    /// replicas even if they have not answered since this process started.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = (String, String)>) {
        self.members = members.into_iter().filter(|(ip, _)| !self.without_replica.contains(ip)).collect();
    }

    /// Removes a controller that does not store tallies.
    pub fn forget(&mut self, ip: &str) {
        self.peers.remove(ip);
        self.members.remove(ip);
        self.without_replica.insert(ip.into());
    }

    /// Records the answer of a replica at `now`.
    pub fn record_answer(&mut self, ip: &str, durable: VersionVector, caught_up: bool, now: u64) {
        if let Some(peer) = self.peers.get_mut(ip) {
            (peer.durable, peer.last_heard_at, peer.caught_up, peer.has_answered) = (durable, now, caught_up, true);
            let zone = peer.zone.clone();
            self.record_zone_answer(&zone, now);
        }
    }

    /// Records that a process of another zone, replica or not, answered at `now`.
    pub fn record_zone_answer(&mut self, zone: &str, now: u64) {
        if !zone.is_empty() && zone != self.own_zone {
            self.contacts.entry(zone.into()).or_default().record_answer(now);
        }
    }

    /// Records that no process of a zone answered the probe that was sent at `sent_at`. A probe that was sent before
    /// this process was paused shows nothing.
    pub fn record_unanswered_probe(&mut self, zone: &str, sent_at: u64) {
        if sent_at >= self.resumed_at {
            self.contacts.entry(zone.into()).or_default().record_unanswered_probe(sent_at);
        }
    }

    /// Returns the zones whose processes should be probed at `now`, and records that they are: those with replicas, if
    /// too few replicas have answered lately.
    pub fn start_probes(&mut self, now: u64) -> Vec<String> {
        let answering = self.peers.values().filter(|peer| peer.last_heard_at + PROBE_AFTER_MS > now).count();
        if answering + 1 >= self.required_disks() {
            return Vec::new();
        }
        let zones: BTreeSet<String> = self.known_replicas().values().map(|zone| zone.to_string()).collect();
        let mut due = Vec::new();
        for zone in zones.into_iter().filter(|zone| !zone.is_empty() && *zone != self.own_zone) {
            let contact = self.contacts.entry(zone.clone()).or_default();
            if contact.is_probe_due(now) {
                contact.record_probe(now);
                due.push(zone);
            }
        }
        due
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

    /// Returns the other replicas that are known, each with its zone; an empty zone is unknown.
    fn known_replicas(&self) -> BTreeMap<&str, &str> {
        let members = self.members.iter().map(|(ip, zone)| (ip.as_str(), zone.as_str()));
        let mut known: BTreeMap<&str, &str> = members.collect();
        for (ip, peer) in
            self.peers.iter().filter(|(ip, peer)| !peer.zone.is_empty() || !self.members.contains_key(*ip))
        {
            known.insert(ip, &peer.zone);
        }
        known
    }

    /// Returns how many disks must have an entry outside a partition: as many as the redundancy requires, or all if
    /// fewer are known.
    fn required_disks(&self) -> usize {
        self.redundancy.replicas.min(self.known_replicas().len() + 1)
    }

    /// Returns the number of known replicas, this one included, whose zone satisfies `is_counted`. The own zone and
    /// unknown ones always do.
    fn replicas_where(&self, is_counted: impl Fn(&ZoneContact) -> bool) -> usize {
        let is_zone_counted = |zone: &str| {
            zone.is_empty()
                || zone == self.own_zone
                || is_counted(&self.contacts.get(zone).copied().unwrap_or_default())
        };
        self.known_replicas().values().filter(|zone| is_zone_counted(zone)).count() + 1
    }

    /// Returns whether a network partition separates this replica from so many others that those on its side may
    /// acknowledge entries by themselves: either no process answers in more zones than may be lost at once, or the
    /// replicas of all other zones would be too few even if all of them ran.
    ///
    /// Silent replicas in zones in which other processes answer are lost, not cut off. They may come back, and this
    /// replica may lose its disk before, so that fewer disks than required are not enough then.
    pub fn is_partitioned(&self, now: u64) -> bool {
        let unreachable_zones = self.contacts.values().filter(|contact| contact.is_unreachable(now)).count();
        let remaining = self.replicas_where(|contact| !contact.is_unreachable(now));
        unreachable_zones >= self.redundancy.zones || (unreachable_zones > 0 && remaining < self.required_disks())
    }

    /// Returns whether no entry can be acknowledged, since too few replicas are in reach and the others are lost rather
    /// than behind a partition.
    pub fn lacks_replicas(&self, now: u64) -> bool {
        let required = self.required_disks();
        self.in_reach(now).count() + 1 < required
            && !self.is_partitioned(now)
            && self.replicas_where(|contact| contact.is_reachable(now)) >= required
    }

    /// Returns whether an entry may be acknowledged: it is on the own disk, and either on enough disks and zones for
    /// the required [`Redundancy`], or on the disks of all replicas in reach if these are enough disks or the others are
    /// [behind a partition](Self::is_partitioned).
    pub fn is_durable(&self, dot: Dot, now: u64) -> bool {
        if !self.own_durable.contains(dot) {
            return false;
        }
        let holders: Vec<&Peer> = self.peers.values().filter(|peer| peer.durable.contains(dot)).collect();
        let holder_zones = holders.iter().map(|peer| peer.zone.as_str()).filter(|zone| !zone.is_empty());
        let zones: BTreeSet<&str> = holder_zones.chain([self.own_zone.as_str()]).collect();
        let disks = holders.len() + 1;
        if disks >= self.redundancy.replicas && zones.len() >= self.redundancy.zones {
            return true;
        }
        self.in_reach(now).all(|peer| peer.durable.contains(dot))
            && (disks >= self.required_disks() || self.is_partitioned(now))
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
