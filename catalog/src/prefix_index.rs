//! The index of all routers' registrations, kept by the controller that owns the catalog role.

use std::collections::HashMap;

use crate::owner_map::OwnerMap;

/// Maximum number of owners of one key: more than the selection of an engine can use.
const MAX_OWNERS_PER_KEY: usize = 8;

/// Maps prefix keys to the engines that hold their KV cache.
///
/// Invariants: `engine_indices` maps each id in `engine_ids` to its position there; there are at most `capacity` keys;
/// no owner that was registered `stale_ms` ago or earlier is returned.
pub struct PrefixIndex {
    engine_ids: Vec<String>,
    engine_indices: HashMap<String, u32>,
    /// Owners by their index in `engine_ids`, since storing the ids would take most of the memory.
    owners: OwnerMap<u32>,
    stale_ms: u64,
}

impl PrefixIndex {
    /// Creates an empty index for `capacity` keys, whose registrations become stale after `stale_ms` milliseconds.
    pub fn new(capacity: usize, stale_ms: u64) -> PrefixIndex {
        PrefixIndex {
            engine_ids: Vec::new(),
            engine_indices: HashMap::new(),
            owners: OwnerMap::new(capacity, MAX_OWNERS_PER_KEY),
            stale_ms,
        }
    }

    /// Registers an engine as an owner of a key, at `now` in milliseconds.
    pub fn register(&mut self, key: u64, engine: &str, now: u64) {
        let engine = self.engine_index(engine);
        self.owners.record(key, engine, now);
    }

    /// Returns the index of an engine in `engine_ids`, adding it if it is new.
    fn engine_index(&mut self, engine: &str) -> u32 {
        if let Some(index) = self.engine_indices.get(engine) {
            return *index;
        }
        let index = self.engine_ids.len() as u32;
        self.engine_ids.push(engine.into());
        self.engine_indices.insert(engine.into(), index);
        index
    }

    /// Returns the ids of the engines that were registered for a key less than `stale_ms` before `now`.
    pub fn owners(&self, key: u64, now: u64) -> Vec<String> {
        let owners = self.owners.owners(key).iter();
        let fresh = owners.filter(|owner| now < owner.registered_at + self.stale_ms);
        fresh.map(|owner| self.engine_ids[owner.engine as usize].clone()).collect()
    }

    /// Removes an engine that is draining or gone from every key.
    pub fn remove_engine(&mut self, engine: &str) {
        let Some(index) = self.engine_indices.get(engine).copied() else { return };
        self.owners.remove_engine(index);
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.owners.clear();
    }

    /// Returns the number of keys, including those without an owner.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.owners.len() == 0
    }
}

#[cfg(test)]
#[path = "prefix_index_tests.rs"]
mod tests;
