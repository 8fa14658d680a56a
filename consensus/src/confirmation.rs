//! Confirming at a quorum that what is known is not older than what is committed: pure.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use protocol::message::{CoreMembership, Entry, KeyPosition, Position};

use crate::quorum;

/// How one key stands after a read at a quorum.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleKey {
    pub key: String,
    /// The newest position that an acceptor told.
    pub position: Position,
    /// A quorum holds this position, so it is committed; otherwise it may still be on its way.
    pub is_committed: bool,
}

/// A read of the positions of all keys. Invariant: each acceptor counts once.
pub struct Confirmation {
    membership: CoreMembership,
    responders: Vec<String>,
    reports: Vec<Report>,
}

/// What one acceptor holds of one key.
struct Report {
    from: String,
    key: String,
    position: Position,
}

impl Confirmation {
    pub fn new(membership: &CoreMembership) -> Confirmation {
        Confirmation { membership: membership.clone(), responders: Vec::new(), reports: Vec::new() }
    }

    pub fn record(&mut self, from: &str, positions: Vec<KeyPosition>) {
        if self.responders.iter().any(|known| known == from) {
            return;
        }
        self.responders.push(from.into());
        let report = |KeyPosition { key, position }| Report { from: from.into(), key, position };
        self.reports.extend(positions.into_iter().map(report));
    }

    pub fn is_quorum(&self) -> bool {
        quorum::is_quorum(&self.membership, &self.responders)
    }

    /// The keys of which an acceptor holds something newer than what `known` says is committed.
    pub fn stale_keys(&self, known: impl Fn(&str) -> Option<Position>) -> Vec<StaleKey> {
        let mut newest: BTreeMap<&str, Position> = BTreeMap::new();
        for report in &self.reports {
            let position = newest.entry(&report.key).or_default();
            *position = (*position).max(report.position);
        }
        let newer = newest.into_iter().filter(|(key, position)| known(key) < Some(*position));
        newer
            .map(|(key, position)| StaleKey {
                key: key.into(),
                position,
                is_committed: self.is_committed(key, position),
            })
            .collect()
    }

    fn is_committed(&self, key: &str, position: Position) -> bool {
        let same = self.reports.iter().filter(|report| report.key == key && report.position == position);
        let holders: Vec<String> = same.map(|report| report.from.clone()).collect();
        quorum::is_quorum(&self.membership, &holders)
    }
}

/// The newest entry that a quorum of acceptors was seen to hold alike, and which therefore is committed.
/// Acceptors may move on between two reads: an entry that came after the one looked for serves as well.
pub fn newest_committed(membership: &CoreMembership, fetched: &[(String, Entry)]) -> Option<Entry> {
    let mut entries: Vec<&Entry> = fetched.iter().map(|(_, entry)| entry).collect();
    entries.sort_by_key(|entry| Reverse(entry.position()));
    let alike = |entry: &Entry| {
        let holds = fetched.iter().filter(|(_, held)| held.position() == entry.position());
        let holders: Vec<String> = holds.map(|(from, _)| from.clone()).collect();
        quorum::is_quorum(membership, &holders)
    };
    entries.into_iter().find(|entry| alike(entry)).cloned()
}

#[cfg(test)]
#[path = "testing/unit/confirmation_tests.rs"]
mod tests;
