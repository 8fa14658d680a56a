//! The lists of engines as pollers of the platform saw them, one list a zone.
//!
//! A list is versioned by (term, sequence): a poller raises the sequence with each change that it sees, and a poller that
//! takes over goes to a higher term. Lists are compared by version alone, so no fence is needed: nobody takes an older
//! list, however late it arrives (`docs/singleton-roles.md`, "Endpoint lists").

use std::collections::BTreeMap;
use std::sync::Arc;

use protocol::message::{self, ChangedEngines, EndpointList, EndpointUpdate, Engine, ListVersion, VersionEntry};
use protocol::version_rollout;

/// The low bits of a term that hold its poller's replica id: enough that no two pollers of a large fleet share them.
const REPLICA_ID_BITS: u32 = 28;
const REPLICA_ID_MASK: u64 = (1 << REPLICA_ID_BITS) - 1;

/// Returns whether the poller with this replica id made the lists of this term.
pub fn is_term_of(term: u64, replica_id: u64) -> bool {
    term & REPLICA_ID_MASK == replica_id & REPLICA_ID_MASK
}

/// Returns the lowest term of a poller that is above another term.
fn term_above(term: u64, replica_id: u64) -> u64 {
    ((term >> REPLICA_ID_BITS) + 1) << REPLICA_ID_BITS | (replica_id & REPLICA_ID_MASK)
}

/// What was known of a zone's list at one moment: taken when a poll begins and compared when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedVersion {
    /// The term and sequence of the list held then.
    version: Option<(u64, u64)>,
    newest_term: u64,
}

/// The newest list of each zone. Invariant: the version (term, sequence) of a zone's list never goes back.
#[derive(Default)]
pub struct EndpointLists {
    lists: BTreeMap<String, Arc<EndpointList>>,
    /// By zone: the highest term that others are known to hold. The next own poll goes above it.
    observed_terms: BTreeMap<String, u64>,
}

impl EndpointLists {
    /// Takes over a list. Returns whether it is newer than the current one.
    pub fn update(&mut self, list: &EndpointList) -> bool {
        let current = self.lists.get(&list.zone).map(|current| (current.term, current.sequence));
        if current >= Some((list.term, list.sequence)) {
            return false;
        }
        self.lists.insert(list.zone.clone(), Arc::new(list.clone()));
        true
    }

    /// Takes over an update that applies to the list held, and returns the engines in it. `None`: it is not newer, it changes
    /// another version than the one held, or it can't be read; nothing has changed then.
    pub fn apply(&mut self, update: &EndpointUpdate) -> Option<ChangedEngines> {
        let held = self.lists.get(&update.zone);
        if !update.applies_to(held.map(|list| list.version())) {
            return None;
        }
        let engines = update.unpack()?;
        let base = held.filter(|_| update.base.is_some()).map_or(&[][..], |list| &list.engines);
        let ListVersion { term, sequence } = update.version;
        let list = EndpointList { zone: update.zone.clone(), term, sequence, engines: engines.apply(base) };
        self.lists.insert(update.zone.clone(), Arc::new(list));
        Some(engines)
    }

    /// Returns the list of a zone.
    pub fn list(&self, zone: &str) -> Option<&Arc<EndpointList>> {
        self.lists.get(zone)
    }

    /// Returns what is known of a zone's list, to be asked before the first call of a poll.
    pub fn observed_version(&self, zone: &str) -> ObservedVersion {
        let version = self.lists.get(zone).map(|current| (current.term, current.sequence));
        let observed = self.observed_terms.get(zone).copied().unwrap_or(0);
        ObservedVersion { version, newest_term: version.map_or(0, |current| current.0).max(observed) }
    }

    /// Publishes what a poller saw that began when `known` was observed. Returns the new list when something changed.
    ///
    /// `term` stays the poller's own while nobody else polled this zone since; else it goes above the current one. Its low
    /// bits are the replica id, so that no two pollers share a term.
    ///
    /// Another poller's list that became known meanwhile may be newer than what was seen, so what was seen is dropped: it
    /// would else be put above that list (a poller that froze in mid-poll).
    pub fn publish(
        &mut self,
        zone: &str,
        term: &mut u64,
        replica_id: u64,
        engines: Vec<Engine>,
        known: ObservedVersion,
    ) -> Option<EndpointList> {
        if self.observed_version(zone) != known {
            return None;
        }
        if *term == 0 || *term != known.newest_term {
            *term = term_above(known.newest_term, replica_id);
        }
        let own = self.lists.get(zone).filter(|current| current.term == *term);
        if own.is_some_and(|current| is_same_list(&current.engines, &engines)) {
            return None;
        }
        let sequence = own.map_or(1, |current| current.sequence + 1);
        let list = EndpointList { zone: zone.into(), term: *term, sequence, engines };
        self.lists.insert(zone.into(), Arc::new(list.clone()));
        Some(list)
    }

    /// Returns all lists, by the names of their zones.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointList> {
        self.lists.values().map(Arc::as_ref)
    }

    /// Returns the zones whose lists are newer than the versions a peer reported, and the version that the peer has.
    pub fn outdated_zones(&self, reported: &[VersionEntry]) -> Vec<(String, Option<ListVersion>)> {
        let held_by_peer = |zone: &str| {
            let entry = reported.iter().find(|entry| entry.name == zone)?;
            Some(ListVersion { term: entry.term, sequence: entry.sequence })
        };
        let versions = self.lists.values().map(|list| (list, held_by_peer(&list.zone)));
        let outdated = versions.filter(|(list, held)| Some(list.version()) > *held);
        outdated.map(|(list, held)| (list.zone.clone(), held)).collect()
    }

    /// Returns the lists that are newer than the versions a peer reported.
    pub fn newer_than(&self, reported: &[VersionEntry]) -> Vec<EndpointList> {
        let version =
            |zone: &str| reported.iter().find(|entry| entry.name == zone).map(|entry| (entry.term, entry.sequence));
        self.lists
            .values()
            .filter(|current| Some((current.term, current.sequence)) > version(&current.zone))
            .map(|current| EndpointList::clone(current))
            .collect()
    }

    /// Returns the versions held.
    pub fn versions(&self) -> Vec<VersionEntry> {
        self.lists.values().map(|list| VersionEntry::new(&list.zone, list.term, list.sequence)).collect()
    }

    /// Records the terms of lists that someone holds: routers outlive the controllers that made their lists.
    pub fn observe_terms(&mut self, reported: &[VersionEntry]) {
        let is_list = |name: &str| !message::is_hidden_key(name) || version_rollout::candidate_zone(name).is_some();
        for entry in reported.iter().filter(|entry| is_list(&entry.name)) {
            let observed = self.observed_terms.entry(entry.name.clone()).or_default();
            *observed = (*observed).max(entry.term);
        }
    }

    /// Returns the recorded terms in the form of versions, with a sequence of 0.
    pub fn observed_terms(&self) -> Vec<VersionEntry> {
        self.observed_terms.iter().map(|(zone, term)| VersionEntry::new(zone, *term, 0)).collect()
    }
}

/// Returns whether two lists are the same but for what is left of slow starts, which runs down by itself.
fn is_same_list(left: &[Engine], right: &[Engine]) -> bool {
    left.len() == right.len() && left.iter().zip(right).all(|(one, two)| one.is_same(two))
}

#[cfg(test)]
#[path = "endpoint_lists_tests.rs"]
mod tests;
