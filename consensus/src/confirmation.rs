//! Confirms at a quorum that the known state is not older than what is committed. Pure: no input or output.
//!
//! Any committed entry is on a quorum, and two quorums share an acceptor. So the positions that a quorum reports
//! include, for each key, one at least as new as the newest committed entry.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use protocol::message::{CoreMembership, Entry, KeyPosition, Position};

use crate::quorum;

/// A key of which an acceptor holds something newer than the known state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleKey {
    /// The key of the register.
    pub key: String,
    /// The newest position that an acceptor reported.
    pub position: Position,
    /// A quorum reported this position, so that it is committed; otherwise it may still be on its way.
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
    /// Starts a read at the quorums of this membership.
    pub fn new(membership: &CoreMembership) -> Confirmation {
        Confirmation { membership: membership.clone(), responders: Vec::new(), reports: Vec::new() }
    }

    /// Records the positions that the acceptor at this address reported, unless it has already responded.
    pub fn record(&mut self, from: &str, positions: Vec<KeyPosition>) {
        if self.responders.iter().any(|responder| responder == from) {
            return;
        }
        self.responders.push(from.into());
        let report = |KeyPosition { key, position }| Report { from: from.into(), key, position };
        self.reports.extend(positions.into_iter().map(report));
    }

    /// Returns whether a quorum has responded.
    pub fn is_quorum(&self) -> bool {
        quorum::is_quorum(&self.membership, &self.responders)
    }

    /// Returns the keys of which an acceptor holds something newer than the position that `known` returns for them,
    /// in ascending order.
    pub fn stale_keys(&self, known: impl Fn(&str) -> Option<Position>) -> Vec<StaleKey> {
        let newest = self.newest_positions().into_iter();
        let stale = newest.filter(|(key, position)| known(key) < Some(*position));
        let stale_key = |(key, position): (&str, Position)| {
            let is_committed = self.is_committed(key, position);
            StaleKey { key: key.into(), position, is_committed }
        };
        stale.map(stale_key).collect()
    }

    fn newest_positions(&self) -> BTreeMap<&str, Position> {
        let mut newest: BTreeMap<&str, Position> = BTreeMap::new();
        for report in &self.reports {
            let position = newest.entry(&report.key).or_default();
            *position = (*position).max(report.position);
        }
        newest
    }

    fn is_committed(&self, key: &str, position: Position) -> bool {
        let same = self.reports.iter().filter(|report| report.key == key && report.position == position);
        let holders: Vec<String> = same.map(|report| report.from.clone()).collect();
        quorum::is_quorum(&self.membership, &holders)
    }
}

/// Returns the newest entry that a quorum of acceptors holds at the same position and that is therefore committed.
/// `fetched` holds entries with the addresses that they came from.
///
/// Acceptors may move on between two reads: an entry that came after the one looked for serves as well.
pub fn newest_committed(membership: &CoreMembership, fetched: &[(String, Entry)]) -> Option<Entry> {
    let mut entries: Vec<&Entry> = fetched.iter().map(|(_, entry)| entry).collect();
    entries.sort_by_key(|entry| Reverse(entry.position()));
    let is_committed = |entry: &Entry| {
        let same = fetched.iter().filter(|(_, other)| other.position() == entry.position());
        let holders: Vec<String> = same.map(|(from, _)| from.clone()).collect();
        quorum::is_quorum(membership, &holders)
    };
    entries.into_iter().find(|entry| is_committed(entry)).cloned()
}

#[cfg(test)]
#[path = "testing/unit/confirmation_tests.rs"]
mod tests;
