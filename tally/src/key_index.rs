//! An index from idempotency keys to entries in the logs. It takes eight bytes per key, since it reads the digests from
//! the logs.

use std::collections::HashMap;

use hashbrown::HashTable;
use protocol::tally::KeyDigest;

/// The position of an entry in the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    /// Index of the origin's log.
    pub origin: u32,
    /// How many entries come before it in that log.
    pub sequence: u32,
}

/// The position of each key's first entry, and the smallest amount of keys that were repeated with a smaller one.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyIndex {
    positions: HashTable<Position>,
    /// The smallest amount of each key whose first entry has a larger one.
    smaller_amounts: HashMap<KeyDigest, u64>,
}

/// Digests are uniformly distributed, so that the first 8 bytes serve as the hash.
fn hash(digest: KeyDigest) -> u64 {
    digest.0.first_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

impl KeyIndex {
    /// Returns the position of a key's first entry. `digest_at` reads a digest from the logs.
    pub fn find(&self, digest: KeyDigest, digest_at: impl Fn(Position) -> Option<KeyDigest>) -> Option<Position> {
        self.positions.find(hash(digest), |position| digest_at(*position) == Some(digest)).copied()
    }

    /// Inserts the position of the first entry of a key that is not in the index.
    pub fn insert(&mut self, digest: KeyDigest, position: Position, digest_at: impl Fn(Position) -> Option<KeyDigest>) {
        self.positions.insert_unique(hash(digest), position, |position| digest_at(*position).map_or(0, hash));
    }

    /// Returns the smallest amount recorded for a key, given the amount of its first entry.
    pub fn smallest_amount(&self, digest: KeyDigest, first_amount: u64) -> u64 {
        self.smaller_amounts.get(&digest).copied().unwrap_or(first_amount)
    }

    /// Records an amount below all earlier amounts of a key.
    pub fn record_smaller_amount(&mut self, digest: KeyDigest, amount: u64) {
        self.smaller_amounts.insert(digest, amount);
    }
}
