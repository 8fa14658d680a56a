//! Decides which origins' entries to send to another replica. An origin sends its own entries at once; other replicas
//! forward them only if the replica still lacks them after a delay.

use std::collections::BTreeMap;

use protocol::tally::Origin;

use crate::version_vector::VersionVector;

/// How long a replica must lack entries of an origin before replicas other than that origin send them, in milliseconds.
pub const FORWARDING_DELAY_MS: u64 = 700;

/// The time since which one replica has lacked entries, by origin, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct LagTracker(BTreeMap<Origin, u64>);

impl LagTracker {
    /// Compares at `now` the entries that the replica has, `known`, with those of this replica, `local`.
    pub fn observe(&mut self, known: &VersionVector, local: &VersionVector, now: u64) {
        for version in local.iter() {
            if known.length(version.origin) < version.length {
                self.0.entry(version.origin).or_insert(now);
            } else {
                self.0.remove(&version.origin);
            }
        }
    }

    /// Returns whether to send entries of an origin: always for the own origin, after [`FORWARDING_DELAY_MS`] for
    /// others.
    pub fn is_wanted(&self, origin: Origin, own: Option<Origin>, now: u64) -> bool {
        own == Some(origin) || self.0.get(&origin).is_some_and(|since| since + FORWARDING_DELAY_MS <= now)
    }
}

#[cfg(test)]
#[path = "lag_tracker_tests.rs"]
mod tests;
