//! Where each idempotency key stands in the logs: eight bytes a key, since the digests stand in the logs themselves.

use std::collections::HashMap;

use hashbrown::HashTable;
use protocol::tally::KeyDigest;

/// The place of an entry, with its origin as an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub origin: u32,
    pub sequence: u32,
}

/// The first place of each key, and amounts that came later with a key and were smaller.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyIndex {
    places: HashTable<Place>,
    /// The smallest amount of a key where that is not the one at its first place.
    smaller_amounts: HashMap<KeyDigest, u64>,
}

/// A digest is uniformly distributed: a part of it is its hash.
fn hash(digest: KeyDigest) -> u64 {
    digest.0.first_chunk::<8>().map_or(0, |part| u64::from_le_bytes(*part))
}

impl KeyIndex {
    /// Returns the first place of a key. `digest_at` reads the logs.
    pub fn find(&self, digest: KeyDigest, digest_at: impl Fn(Place) -> Option<KeyDigest>) -> Option<Place> {
        self.places.find(hash(digest), |place| digest_at(*place) == Some(digest)).copied()
    }

    /// Notes the first place of a key that is not known.
    pub fn insert(&mut self, digest: KeyDigest, place: Place, digest_at: impl Fn(Place) -> Option<KeyDigest>) {
        self.places.insert_unique(hash(digest), place, |place| digest_at(*place).map_or(0, hash));
    }

    /// Returns the amount that counts for a key, given the one at its first place.
    pub fn smallest_amount(&self, digest: KeyDigest, first_amount: u64) -> u64 {
        self.smaller_amounts.get(&digest).copied().unwrap_or(first_amount)
    }

    /// Notes a smaller amount than those that came with a key before.
    pub fn record_smaller_amount(&mut self, digest: KeyDigest, amount: u64) {
        self.smaller_amounts.insert(digest, amount);
    }
}
