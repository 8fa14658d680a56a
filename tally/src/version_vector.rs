//! Version vectors: which entries a replica has, as the length of each origin's log.

use std::collections::BTreeMap;

use protocol::tally::{Origin, OriginVersion};

use crate::log::Dot;

/// The lengths of logs by origin. Origins that are absent have length 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionVector(BTreeMap<Origin, u64>);

impl VersionVector {
    /// Returns the length of an origin's log.
    pub fn length(&self, origin: Origin) -> u64 {
        self.0.get(&origin).copied().unwrap_or(0)
    }

    /// Raises the length of an origin's log to at least `length`.
    pub fn advance(&mut self, origin: Origin, length: u64) {
        let current = self.0.entry(origin).or_default();
        *current = length.max(*current);
    }

    /// Returns whether the vector includes the entry at this position.
    pub fn contains(&self, dot: Dot) -> bool {
        dot.sequence < self.length(dot.origin)
    }

    /// Returns whether the vector includes all entries that `other` includes.
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
