//! Confirms with a quorum that the known state includes everything that is committed. Pure: performs no I/O.
//!
//! A committed entry is stored by a quorum, and any two quorums share an acceptor. The positions that a quorum reports
//! therefore include, for each key, one at least as new as that of the newest committed entry.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use protocol::message::{CoreMembership, Entry, KeyPosition, Position};

use crate::quorum;

/// A key for which an acceptor holds a newer entry than the known state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleKey {
    /// The key of the register.
    pub key: String,
    /// The newest position that an acceptor reported.
    pub position: Position,
    /// Whether a quorum reported this position, which proves it committed. Otherwise its write may still be in
    /// progress.
    pub is_committed: bool,
}

/// A quorum read of the positions of all keys. Invariant: each acceptor counts once.
pub struct Confirmation {
    membership: CoreMembership,
    responders: Vec<String>,
    reports: Vec<Report>,
}

/// The position that one acceptor reported for one key.
struct Report {
    from: String,
    key: String,
    position: Position,
}

impl Confirmation {
    /// Starts a read that needs a quorum of this membership.
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

    /// Returns the keys for which an acceptor reported a newer position than the one that `known` returns, in ascending
    /// order.
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
        let matching = self.reports.iter().filter(|report| report.key == key && report.position == position);
        let holders: Vec<String> = matching.map(|report| report.from.clone()).collect();
        quorum::is_quorum(&self.membership, &holders)
    }
}

/// Returns the newest entry that a quorum of acceptors holds at the same position and that is therefore committed.
/// `fetched` pairs each entry with the address of the acceptor that returned it.
///
/// Acceptors may accept newer entries between two reads. A committed entry that is newer than the one looked for is
/// equally valid.
pub fn newest_committed(membership: &CoreMembership, fetched: &[(String, Entry)]) -> Option<Entry> {
    let mut entries: Vec<&Entry> = fetched.iter().map(|(_, entry)| entry).collect();
    entries.sort_by_key(|entry| Reverse(entry.position()));
    let is_committed = |entry: &Entry| {
        let matching = fetched.iter().filter(|(_, other)| other.position() == entry.position());
        let holders: Vec<String> = matching.map(|(from, _)| from.clone()).collect();
        quorum::is_quorum(membership, &holders)
    };
    entries.into_iter().find(|entry| is_committed(entry)).cloned()
}

#[cfg(test)]
#[path = "testing/unit/confirmation_tests.rs"]
mod tests;
