//! Confirming at a quorum that what is known is not older than what is committed: pure.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use protocol::message::{CoreMembership, Entry, ProposalNumber};

use crate::quorum;

/// The position of an entry in the history of its key.
pub type Place = (ProposalNumber, u64);

/// How one key stands after a read at a quorum.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behind {
    pub key: String,
    /// The newest place that a voter told.
    pub place: Place,
    /// A quorum holds this place, so it is committed; otherwise it may still be on its way.
    pub committed: bool,
}

/// A read of the places of all keys. Invariant: each voter counts once.
pub struct Confirmation {
    core: CoreMembership,
    heard: Vec<String>,
    told: Vec<(String, String, Place)>,
}

impl Confirmation {
    pub fn new(core: &CoreMembership) -> Confirmation {
        Confirmation { core: core.clone(), heard: Vec::new(), told: Vec::new() }
    }

    pub fn hear(&mut self, from: &str, places: Vec<(String, ProposalNumber, u64)>) {
        if self.heard.iter().any(|known| known == from) {
            return;
        }
        self.heard.push(from.into());
        self.told.extend(places.into_iter().map(|(key, ballot, step)| (from.to_string(), key, (ballot, step))));
    }

    pub fn is_quorum(&self) -> bool {
        quorum::is_quorum(&self.core, &self.heard)
    }

    /// The keys of which a voter holds something newer than what `known` says is committed.
    pub fn behind(&self, known: impl Fn(&str) -> Option<Place>) -> Vec<Behind> {
        let mut top: BTreeMap<&str, Place> = Default::default();
        for (_, key, place) in &self.told {
            let held = top.entry(key).or_default();
            *held = (*held).max(*place);
        }
        let newer = top.into_iter().filter(|(key, place)| known(key) < Some(*place));
        newer.map(|(key, place)| Behind { key: key.into(), place, committed: self.is_committed(key, place) }).collect()
    }

    fn is_committed(&self, key: &str, place: Place) -> bool {
        let holds = self.told.iter().filter(|(_, name, held)| name == key && *held == place);
        let holders: Vec<String> = holds.map(|(from, _, _)| from.clone()).collect();
        quorum::is_quorum(&self.core, &holders)
    }
}

/// The newest entry that a quorum of voters was seen to hold alike, and which therefore is committed.
/// Voters may move on between two reads: an entry that came after the one looked for serves as well.
pub fn committed(core: &CoreMembership, fetched: &[(String, Entry)]) -> Option<Entry> {
    let mut entries: Vec<&Entry> = fetched.iter().map(|(_, entry)| entry).collect();
    entries.sort_by_key(|entry| Reverse(entry.position()));
    let alike = |entry: &Entry| {
        let holds = fetched.iter().filter(|(_, held)| held.position() == entry.position());
        let holders: Vec<String> = holds.map(|(from, _)| from.clone()).collect();
        quorum::is_quorum(core, &holders)
    };
    entries.into_iter().find(|entry| alike(entry)).cloned()
}

#[cfg(test)]
#[path = "confirmation_tests.rs"]
mod tests;
