//! What one router recorded: the local prefix that it scans before it asks the catalog.

use std::collections::{HashMap, VecDeque};

use crate::lookup_counts::LookupCounts;

/// Invariants: an entry is told only while it is younger than `stale_ms` and not suppressed; at
/// most `capacity` keys; suppression is keyed by (engine, key), never by request.
pub struct OwnerCache {
    keys: HashMap<u64, Vec<(String, u64)>>,
    insertion_order: VecDeque<u64>,
    suppressed: HashMap<(String, u64), u64>,
    capacity: usize,
    stale_ms: u64,
    pub counts: LookupCounts,
}

const MAX_OWNERS_PER_KEY: usize = 4;

impl OwnerCache {
    pub fn new(capacity: usize, stale_ms: u64) -> Self {
        OwnerCache {
            keys: Default::default(),
            insertion_order: Default::default(),
            suppressed: Default::default(),
            capacity,
            stale_ms,
            counts: Default::default(),
        }
    }

    pub fn record(&mut self, key: u64, engine: &str, now: u64) {
        if !self.keys.contains_key(&key) {
            self.insertion_order.push_back(key);
            if self.insertion_order.len() > self.capacity {
                if let Some(old) = self.insertion_order.pop_front() {
                    self.keys.remove(&old);
                }
            }
        }
        let owners = self.keys.entry(key).or_default();
        match owners.iter_mut().find(|owner| owner.0 == engine) {
            Some(owner) => owner.1 = now,
            None => owners.push((engine.into(), now)),
        }
        if owners.len() > MAX_OWNERS_PER_KEY {
            let oldest = (0..owners.len()).min_by_key(|at| owners[*at].1).unwrap_or(0);
            owners.swap_remove(oldest);
        }
    }

    /// How many of the keys, from the first on, are known here.
    pub fn known_prefix_count(&self, keys: &[u64], now: u64) -> usize {
        keys.iter().take_while(|key| !self.owners(**key, now).is_empty()).count()
    }

    pub fn owners(&self, key: u64, now: u64) -> Vec<&str> {
        let Some(owners) = self.keys.get(&key) else { return Vec::new() };
        let fresh =
            owners.iter().filter(|owner| now < owner.1 + self.stale_ms && !self.is_suppressed(&owner.0, key, now));
        fresh.map(|owner| owner.0.as_str()).collect()
    }

    pub fn suppress(&mut self, engine: &str, key: u64, until: u64) {
        if self.suppressed.len() > self.capacity {
            self.suppressed.clear();
        }
        self.suppressed.insert((engine.into(), key), until);
    }

    pub fn is_suppressed(&self, engine: &str, key: u64, now: u64) -> bool {
        if self.suppressed.is_empty() {
            return false;
        }
        self.suppressed.get(&(engine.to_string(), key)).is_some_and(|until| now < *until)
    }

    pub fn remove_engine(&mut self, engine: &str) {
        for owners in self.keys.values_mut() {
            owners.retain(|owner| owner.0 != engine);
        }
    }

    /// All that is fresh, for a catalog that lost its state.
    pub fn entries(&self, now: u64) -> Vec<(u64, String)> {
        let mut list = Vec::new();
        for key in &self.insertion_order {
            for engine in self.owners(*key, now) {
                list.push((*key, engine.to_string()));
            }
        }
        list
    }
}

#[cfg(test)]
#[path = "owner_cache_tests.rs"]
mod tests;
