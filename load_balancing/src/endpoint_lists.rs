//! The endpoint lists that pollers read from the platform, one per zone.
//!
//! A list is versioned by (term, sequence): a poller increments the sequence with each change it sees, and a poller
//! that takes over starts a higher term. Only versions decide between lists, so no fencing is needed: a receiver
//! ignores a list that is older than its own, however late it arrives (`docs/singleton-roles.md`, "Endpoint lists").

use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;

use protocol::message::{self, ChangedEngines, EndpointList, EndpointUpdate, Engine, ListVersion, VersionEntry};
use protocol::version_rollout;

use crate::cold_spells::{ColdSpells, END_TOLERANCE_MS};

/// The number of low bits of a term that hold its poller's replica id: enough that no two pollers of a large fleet
/// share an id.
const REPLICA_ID_BITS: u32 = 28;
const REPLICA_ID_MASK: u64 = (1 << REPLICA_ID_BITS) - 1;

/// Returns whether a term belongs to the poller with this replica id.
pub fn is_term_of(term: u64, replica_id: u64) -> bool {
    term & REPLICA_ID_MASK == replica_id & REPLICA_ID_MASK
}

/// Returns the lowest term of a poller that is higher than `term`.
fn term_above(term: u64, replica_id: u64) -> u64 {
    ((term >> REPLICA_ID_BITS) + 1) << REPLICA_ID_BITS | (replica_id & REPLICA_ID_MASK)
}

/// The versions known for a zone's list, recorded when a poll begins and compared when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedVersion {
    /// The term and sequence of the list held at that time.
    version: Option<(u64, u64)>,
    /// The highest term known, of the list held or reported by others.
    newest_term: u64,
}

/// The newest list of each zone. Invariant: the version (term, sequence) of a zone's list never decreases.
#[derive(Default)]
pub struct EndpointLists {
    lists: BTreeMap<String, Arc<EndpointList>>,
    /// The cold spells of each list.
    cold_spells: BTreeMap<String, ColdSpells>,
    /// By zone: the highest term that another process is known to hold. This poller's next list gets a higher one.
    observed_terms: BTreeMap<String, u64>,
}

impl EndpointLists {
    /// Stores a list that was received at `now` if it is newer than the current one, and returns whether it was.
    pub fn update(&mut self, list: &EndpointList, now: u64) -> bool {
        let current = self.lists.get(&list.zone).map(|current| (current.term, current.sequence));
        if current >= Some((list.term, list.sequence)) {
            return false;
        }
        self.announce_all(list, now);
        self.lists.insert(list.zone.clone(), Arc::new(list.clone()));
        true
    }

    /// Applies an update that was received at `now` to the list held, and returns the engines in it. Returns `None` and
    /// changes nothing if the update is not newer, is based on another version than the one held, or can't be decoded.
    pub fn apply(&mut self, update: &EndpointUpdate, now: u64) -> Option<ChangedEngines> {
        let held = self.lists.get(&update.zone);
        if !update.applies_to(held.map(|list| list.version())) {
            return None;
        }
        let engines = update.unpack()?;
        let base = held.filter(|_| update.base.is_some()).map_or(&[][..], |list| &list.engines);
        let ListVersion { term, sequence } = update.version;
        let list = EndpointList { zone: update.zone.clone(), term, sequence, engines: engines.apply(base) };
        let cold_spells = self.cold_spells.entry(update.zone.clone()).or_default();
        cold_spells.announce(&engines.changed, update.version, now);
        cold_spells.retain_listed(&list.engines);
        self.lists.insert(update.zone.clone(), Arc::new(list));
        Some(engines)
    }

    /// Records all cold spells of a list as announced in its version.
    fn announce_all(&mut self, list: &EndpointList, now: u64) {
        let mut cold_spells = ColdSpells::default();
        cold_spells.announce(&list.engines, list.version(), now);
        self.cold_spells.insert(list.zone.clone(), cold_spells);
    }

    /// Returns the list of a zone.
    pub fn list(&self, zone: &str) -> Option<&Arc<EndpointList>> {
        self.lists.get(zone)
    }

    /// Returns the cold spells of a zone's list.
    pub fn cold_spells(&self, zone: &str) -> Option<&ColdSpells> {
        self.cold_spells.get(zone)
    }

    /// Returns the versions known for a zone's list. A poller calls this before the first request of a poll.
    pub fn observed_version(&self, zone: &str) -> ObservedVersion {
        let version = self.lists.get(zone).map(|current| (current.term, current.sequence));
        let observed = self.observed_terms.get(zone).copied().unwrap_or(0);
        ObservedVersion { version, newest_term: version.map_or(0, |current| current.0).max(observed) }
    }

    /// Publishes the engines found by a poll that began when `known` was observed, with the times for which they stay
    /// cold from `now` on. Returns the new list if anything changed, which a shorter remaining time does not.
    ///
    /// The poller keeps its `term` while no higher one is known for this zone; otherwise it takes a term above the
    /// newest one. The low bits of a term are the replica id, so that no two pollers share a term.
    ///
    /// If another poller's list became known during the poll, the result is dropped, since that list may be newer: a
    /// poller that froze in the middle of a poll would otherwise publish its stale result above that list.
    pub fn publish(
        &mut self,
        zone: &str,
        term: &mut u64,
        replica_id: u64,
        mut engines: Vec<Engine>,
        known: ObservedVersion,
        now: u64,
    ) -> Option<EndpointList> {
        if self.observed_version(zone) != known {
            return None;
        }
        if *term == 0 || *term != known.newest_term {
            *term = term_above(known.newest_term, replica_id);
        }
        let published = self.lists.get(zone).filter(|current| current.term == *term);
        let mut cold_spells = mem::take(self.cold_spells.entry(zone.into()).or_default());
        let is_same = published.is_some_and(|current| is_same_list(&current.engines, &engines));
        if is_same && !engines.iter().any(|engine| cold_spells.is_extended(engine, now)) {
            self.cold_spells.insert(zone.into(), cold_spells);
            return None;
        }
        let version = ListVersion { term: *term, sequence: published.map_or(1, |current| current.sequence + 1) };
        if published.is_none() {
            // Others may have announced other ends for the list of an earlier term.
            cold_spells = ColdSpells::default();
        }
        let announced = take_announced(&mut engines, &cold_spells, now);
        cold_spells.announce(&announced, version, now);
        cold_spells.retain_listed(&engines);
        cold_spells.update_remaining(&mut engines, now);
        self.cold_spells.insert(zone.into(), cold_spells);
        let list = EndpointList { zone: zone.into(), term: version.term, sequence: version.sequence, engines };
        self.lists.insert(zone.into(), Arc::new(list.clone()));
        Some(list)
    }

    /// Returns all lists, ordered by zone name.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointList> {
        self.lists.values().map(Arc::as_ref)
    }

    /// Returns the zones whose lists are newer than the versions a peer reported, each with the version that the peer
    /// holds.
    pub fn outdated_zones(&self, reported: &[VersionEntry]) -> Vec<(String, Option<ListVersion>)> {
        let held_by_peer = |zone: &str| {
            let entry = reported.iter().find(|entry| entry.name == zone)?;
            Some(ListVersion { term: entry.term, sequence: entry.sequence })
        };
        let versions = self.lists.values().map(|list| (list, held_by_peer(&list.zone)));
        let outdated = versions.filter(|(list, held)| Some(list.version()) > *held);
        outdated.map(|(list, held)| (list.zone.clone(), held)).collect()
    }

    /// Returns the lists that are newer than the versions a peer reported, with the times for which engines stay cold
    /// from `now` on.
    pub fn newer_than(&self, reported: &[VersionEntry], now: u64) -> Vec<EndpointList> {
        let version =
            |zone: &str| reported.iter().find(|entry| entry.name == zone).map(|entry| (entry.term, entry.sequence));
        self.lists
            .values()
            .filter(|current| Some((current.term, current.sequence)) > version(&current.zone))
            .map(|current| self.list_as_of(current, now))
            .collect()
    }

    /// Returns a list with the times for which its engines stay cold from `now` on.
    fn list_as_of(&self, list: &EndpointList, now: u64) -> EndpointList {
        let mut list = list.clone();
        if let Some(cold_spells) = self.cold_spells.get(&list.zone) {
            cold_spells.update_remaining(&mut list.engines, now);
        }
        list
    }

    /// Returns the versions of the lists held.
    pub fn versions(&self) -> Vec<VersionEntry> {
        self.lists.values().map(|list| VersionEntry::new(&list.zone, list.term, list.sequence)).collect()
    }

    /// Records the terms of lists that a peer holds. Routers outlive the controllers that published their lists, so a
    /// new poller must go above these terms.
    pub fn observe_terms(&mut self, reported: &[VersionEntry]) {
        let is_list = |name: &str| !message::is_hidden_key(name) || version_rollout::candidate_zone(name).is_some();
        for entry in reported.iter().filter(|entry| is_list(&entry.name)) {
            let observed = self.observed_terms.entry(entry.name.clone()).or_default();
            *observed = (*observed).max(entry.term);
        }
    }

    /// Returns the recorded terms as version entries with sequence 0.
    pub fn observed_terms(&self) -> Vec<VersionEntry> {
        self.observed_terms.iter().map(|(zone, term)| VersionEntry::new(zone, *term, 0)).collect()
    }
}

/// Adds the tolerance to the cold spells that are to be announced, and returns all engines but those whose spell was
/// announced before.
fn take_announced(engines: &mut [Engine], cold_spells: &ColdSpells, now: u64) -> Vec<Engine> {
    let mut announced = Vec::new();
    for engine in engines {
        if engine.cold_ms > 0 && !cold_spells.is_extended(engine, now) {
            continue;
        }
        if engine.cold_ms > 0 {
            engine.cold_ms = engine.cold_ms.saturating_add(END_TOLERANCE_MS);
        }
        announced.push(engine.clone());
    }
    announced
}

/// Returns whether two lists are the same apart from the remaining slow-start time, which decreases by itself.
fn is_same_list(left: &[Engine], right: &[Engine]) -> bool {
    left.len() == right.len() && left.iter().zip(right).all(|(left, right)| left.is_same(right))
}

#[cfg(test)]
#[path = "endpoint_lists_tests.rs"]
mod tests;
