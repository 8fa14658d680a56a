//! The list of engines as the pollers saw it, a list a zone.

use std::collections::BTreeMap;

use protocol::message::{self, EndpointList, Engine};
use protocol::version_rollout;

/// The low bits of a term that tell pollers apart: enough that no two of a large fleet share them.
const REPLICA_ID_BITS: u32 = 28;

/// Did the poller with this replica_id make a list of this term?
pub fn is_term_of(term: u64, replica_id: u64) -> bool {
    let mask = (1 << REPLICA_ID_BITS) - 1;
    term & mask == replica_id & mask
}

/// What was known of a zone's list at one moment: taken when a poll begins and compared when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedVersion {
    version: Option<(u64, u64)>,
    newest_term: u64,
}

/// Invariant: the version (term, count) of a zone's list never goes back.
#[derive(Default)]
pub struct EndpointLists {
    lists: BTreeMap<String, EndpointList>,
    /// Turns that others were told of: the next own poll goes above them.
    observed_terms: BTreeMap<String, u64>,
}

impl EndpointLists {
    /// True when the list is newer than what was held.
    pub fn update(&mut self, list: &EndpointList) -> bool {
        let held = self.lists.get(&list.zone).map(|held| (held.term, held.sequence));
        if held >= Some((list.term, list.sequence)) {
            return false;
        }
        self.lists.insert(list.zone.clone(), list.clone());
        true
    }

    /// To be asked before the first call of a poll.
    pub fn observed_version(&self, zone: &str) -> ObservedVersion {
        let version = self.lists.get(zone).map(|held| (held.term, held.sequence));
        let observed = self.observed_terms.get(zone).copied().unwrap_or(0);
        ObservedVersion { version, newest_term: version.map_or(0, |held| held.0).max(observed) }
    }

    /// What a poller saw that began when `known` was asked for. `term` is its own while nobody else
    /// polled this zone since; else it goes above what is held. The low bits are the poller's replica_id, so
    /// that no two share a term. Gives the new list when something changed.
    ///
    /// Another poller's list that became known meanwhile may be newer than what was seen, so what was
    /// seen is dropped: it would else be put above that list (a poller that froze in mid-poll).
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
        let held = self.lists.get(zone);
        let top = known.newest_term;
        if *term == 0 || *term != top {
            *term = ((top >> REPLICA_ID_BITS) + 1) << REPLICA_ID_BITS | (replica_id & ((1 << REPLICA_ID_BITS) - 1));
        }
        let same = held.is_some_and(|held| held.term == *term && same_engines(&held.engines, &engines));
        if same {
            return None;
        }
        let sequence = held.filter(|held| held.term == *term).map_or(1, |held| held.sequence + 1);
        let list = EndpointList { zone: zone.into(), term: *term, sequence, engines };
        self.lists.insert(zone.into(), list.clone());
        Some(list)
    }

    pub fn iter(&self) -> impl Iterator<Item = &EndpointList> {
        self.lists.values()
    }

    /// Those that are newer than the versions told.
    pub fn newer_than(&self, told: &[(String, u64, u64)]) -> Vec<EndpointList> {
        let version = |zone: &str| told.iter().find(|item| item.0 == zone).map(|item| (item.1, item.2));
        self.lists.values().filter(|held| Some((held.term, held.sequence)) > version(&held.zone)).cloned().collect()
    }

    pub fn versions(&self) -> Vec<(String, u64, u64)> {
        self.lists.values().map(|list| (list.zone.clone(), list.term, list.sequence)).collect()
    }

    /// Someone holds lists of these terms: routers outlive the controllers that made them.
    pub fn observe_terms(&mut self, told: &[(String, u64, u64)]) {
        let is_list = |name: &str| !message::is_hidden_key(name) || version_rollout::candidate_zone(name).is_some();
        for (zone, term, _) in told.iter().filter(|item| is_list(&item.0)) {
            let observed = self.observed_terms.entry(zone.clone()).or_default();
            *observed = (*observed).max(*term);
        }
    }

    pub fn observed_terms(&self) -> Vec<(String, u64, u64)> {
        self.observed_terms.iter().map(|(zone, term)| (zone.clone(), *term, 0)).collect()
    }
}

/// The same but for the running down of what is left of a cold time.
fn same_engines(left: &[Engine], right: &[Engine]) -> bool {
    let plain = |engine: &Engine| Engine { cold_ms: u32::from(engine.cold_ms > 0), ..engine.clone() };
    left.len() == right.len() && left.iter().zip(right).all(|(one, two)| plain(one) == plain(two))
}

#[cfg(test)]
#[path = "endpoint_lists_tests.rs"]
mod tests;
