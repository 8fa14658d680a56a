//! Which logs of other origins a replica is to be sent: those that it has lacked for some time, since their origin sees to it
//! first.

use std::collections::BTreeMap;

use protocol::tally::Origin;

use crate::version_vector::VersionVector;

/// How long a replica may lack entries of an origin before others than that origin send them, in milliseconds.
pub const FOREIGN_LAG_MS: u64 = 700;

/// Since when one replica has lacked entries, by origin.
#[derive(Clone, Debug, Default)]
pub struct LagTracker(BTreeMap<Origin, u64>);

impl LagTracker {
    /// Notes what the replica lacks of what is here at `now`.
    pub fn observe(&mut self, known: &VersionVector, here: &VersionVector, now: u64) {
        for version in here.iter() {
            if known.length(version.origin) < version.length {
                self.0.entry(version.origin).or_insert(now);
            } else {
                self.0.remove(&version.origin);
            }
        }
    }

    /// Returns whether entries of an origin are to be sent: the own ones at once, others if they have lacked for long.
    pub fn is_wanted(&self, origin: Origin, own: Option<Origin>, now: u64) -> bool {
        own == Some(origin) || self.0.get(&origin).is_some_and(|since| since + FOREIGN_LAG_MS <= now)
    }
}

#[cfg(test)]
#[path = "lag_tracker_tests.rs"]
mod tests;
