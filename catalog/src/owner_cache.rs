//! What one router learned about the owners of prefixes: it scans this before it asks the prefix index.

use std::collections::HashMap;

use crate::owner_map::OwnerMap;

/// How many owners of one key are kept.
const MAX_OWNERS_PER_KEY: usize = 4;

/// Counts what came of look-ups, for the operator's log and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LookupCounts {
    /// Requests whose owners were looked up.
    pub queries: u64,
    /// Look-ups that found a usable owner.
    pub hits: u64,
    /// Look-ups for which neither the router nor the index knew an owner.
    pub no_owner: u64,
    /// Owners that were found but have left the list of engines or are draining.
    pub stale_owner: u64,
    /// Hand-overs given up because the KV cache could not be fetched from its owner.
    pub transfer_error: u64,
    /// Queries to the index that got no answer.
    pub unanswered: u64,
    /// Registrations that were lost or still unconfirmed at the flush before a hand-over.
    pub dropped: u64,
}

/// An engine that is not to be named as an owner of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Suppression {
    engine: String,
    key: u64,
}

/// Maps prefix keys to the engines that this router knows as their owners.
///
/// Invariants: an owner is returned only while it is younger than `stale_ms` and not suppressed; at most `capacity` keys
/// are held; a suppression holds for one engine and one key, whatever request caused it.
pub struct OwnerCache {
    owners: OwnerMap<String>,
    /// Until when each suppression lasts, in milliseconds.
    suppressed: HashMap<Suppression, u64>,
    capacity: usize,
    stale_ms: u64,
    /// What came of look-ups so far.
    pub counts: LookupCounts,
}

impl OwnerCache {
    /// Creates an empty cache for `capacity` keys, whose entries count for `stale_ms` milliseconds.
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

    /// Returns how many of the keys, from the first one on, have an owner.
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

    /// Suppresses an engine as an owner of one key until `until`, in milliseconds. When too many suppressions are held,
    /// all older ones are dropped.
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

    /// Returns all keys with their usable owners, for a prefix index that lost its state.
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
