//! A router's cache of the owners of prefixes, which it searches before it asks the prefix index.

use std::collections::HashMap;

use crate::owner_map::OwnerMap;

/// Maximum number of owners of one key.
const MAX_OWNERS_PER_KEY: usize = 4;

/// Counts the outcomes of lookups, for the operator's log and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LookupCounts {
    /// Requests for which owners were looked up.
    pub queries: u64,
    /// Lookups that found a usable owner.
    pub hits: u64,
    /// Lookups for which neither the router nor the index knew an owner.
    pub no_owner: u64,
    /// Owners that were found but are no longer in the list of engines or are draining.
    pub stale_owner: u64,
    /// KV cache handovers that were abandoned because the cache could not be fetched from its owner.
    pub transfer_error: u64,
    /// Queries to the index that were not answered.
    pub unanswered: u64,
    /// Registrations that were lost or still unconfirmed at the flush before the handover from prefill to decode.
    pub dropped: u64,
}

/// An engine that is not returned as an owner of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Suppression {
    engine: String,
    key: u64,
}

/// Maps prefix keys to the engines that this router knows to be their owners.
///
/// Invariants: an owner is returned only if it was recorded less than `stale_ms` ago and is not suppressed; there are
/// at most `capacity` keys; a suppression applies to one engine and one key, for all requests.
pub struct OwnerCache {
    owners: OwnerMap<String>,
    /// Expiry of each suppression, in milliseconds.
    suppressed: HashMap<Suppression, u64>,
    capacity: usize,
    stale_ms: u64,
    /// Outcomes of all lookups so far.
    pub counts: LookupCounts,
}

impl OwnerCache {
    /// Creates an empty cache for `capacity` keys, whose entries become stale after `stale_ms` milliseconds.
    pub fn new(capacity: usize, stale_ms: u64) -> OwnerCache {
        OwnerCache {
            owners: OwnerMap::new(capacity, MAX_OWNERS_PER_KEY),
            suppressed: HashMap::new(),
            capacity,
            stale_ms,
            counts: LookupCounts::default(),
        }
    }

    /// Records an engine as an owner of a key, at `now` in milliseconds.
    pub fn record(&mut self, key: u64, engine: &str, now: u64) {
        self.owners.record(key, engine, now);
    }

    /// Returns the number of leading keys that have a usable owner.
    pub fn known_prefix_count(&self, keys: &[u64], now: u64) -> usize {
        keys.iter().take_while(|key| !self.owners(**key, now).is_empty()).count()
    }

    /// Returns the ids of the fresh owners of a key that are not suppressed.
    pub fn owners(&self, key: u64, now: u64) -> Vec<&str> {
        let owners = self.owners.owners(key).iter();
        let fresh = owners.filter(|owner| now < owner.registered_at + self.stale_ms);
        let usable = fresh.filter(|owner| !self.is_suppressed(&owner.engine, key, now));
        usable.map(|owner| owner.engine.as_str()).collect()
    }

    /// Suppresses an engine as an owner of one key until `until`, in milliseconds. If there are more than `capacity`
    /// suppressions, all earlier ones are removed.
    pub fn suppress(&mut self, engine: &str, key: u64, until: u64) {
        if self.suppressed.len() > self.capacity {
            self.suppressed.clear();
        }
        self.suppressed.insert(Suppression { engine: engine.into(), key }, until);
    }

    /// Returns whether an engine is suppressed as an owner of a key.
    pub fn is_suppressed(&self, engine: &str, key: u64, now: u64) -> bool {
        if self.suppressed.is_empty() {
            return false;
        }
        let suppression = Suppression { engine: engine.into(), key };
        self.suppressed.get(&suppression).is_some_and(|until| now < *until)
    }

    /// Removes an engine that is draining or gone from every key.
    pub fn remove_engine(&mut self, engine: &str) {
        self.owners.remove_engine(engine);
    }

    /// Returns all pairs of a key and a usable owner, to rebuild a prefix index that lost its state.
    pub fn entries(&self, now: u64) -> Vec<(u64, String)> {
        let mut entries = Vec::new();
        for key in self.owners.keys() {
            let engines = self.owners(key, now).into_iter();
            entries.extend(engines.map(|engine| (key, engine.to_string())));
        }
        entries
    }
}

#[cfg(test)]
#[path = "owner_cache_tests.rs"]
mod tests;
