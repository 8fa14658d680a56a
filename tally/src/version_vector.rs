//! What a replica has: for each origin, how many entries of its log from the beginning.

use std::collections::BTreeMap;

use protocol::tally::{Origin, OriginVersion};

use crate::log::Dot;

/// The lengths of logs by origin. Origins that are not named have length 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionVector(BTreeMap<Origin, u64>);

impl VersionVector {
    /// Returns the length of an origin's log.
    pub fn length(&self, origin: Origin) -> u64 {
        self.0.get(&origin).copied().unwrap_or(0)
    }

    /// Sets the length of an origin's log to at least this.
    pub fn advance(&mut self, origin: Origin, length: u64) {
        let known = self.0.entry(origin).or_default();
        *known = length.max(*known);
    }

    /// Returns whether the entry at this place of a log is among those counted here.
    pub fn contains(&self, dot: Dot) -> bool {
        dot.sequence < self.length(dot.origin)
    }

    /// Returns whether everything that `other` has is here too.
    pub fn covers(&self, other: &VersionVector) -> bool {
        other.iter().all(|version| version.length <= self.length(version.origin))
    }

    /// Returns the lengths by origin.
    pub fn iter(&self) -> impl Iterator<Item = OriginVersion> + '_ {
        self.0.iter().map(|(origin, length)| OriginVersion { origin: *origin, length: *length })
    }
}

impl FromIterator<OriginVersion> for VersionVector {
    fn from_iter<I: IntoIterator<Item = OriginVersion>>(versions: I) -> VersionVector {
        let mut vector = VersionVector::default();
        versions.into_iter().for_each(|version| vector.advance(version.origin, version.length));
        vector
    }
}
