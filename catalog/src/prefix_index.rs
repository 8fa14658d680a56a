//! The catalog itself, in the controller that holds the duty. Never replicated: after a loss it fills
//! again from what routers register.

use std::collections::{HashMap, VecDeque};

struct Owner {
    engine: u32,
    registered_at: u64,
}

/// Invariants: engine_ids are mapped to dense indices in `engine_ids`; a key has each engine once; at most
/// `capacity` keys are held, those unheard for longest give way; nothing older than `stale_ms` is told.
pub struct PrefixIndex {
    engine_ids: Vec<String>,
    engine_indices: HashMap<String, u32>,
    keys: HashMap<u64, Vec<Owner>>,
    insertion_order: VecDeque<u64>,
    capacity: usize,
    stale_ms: u64,
}

/// How many owners of one key are kept: more than can be of use to a choice.
const MAX_OWNERS_PER_KEY: usize = 8;

impl PrefixIndex {
    pub fn new(capacity: usize, stale_ms: u64) -> Self {
        PrefixIndex {
            engine_ids: Vec::new(),
            engine_indices: Default::default(),
            keys: Default::default(),
            insertion_order: Default::default(),
            capacity,
            stale_ms,
        }
    }

    pub fn register(&mut self, key: u64, engine: &str, now: u64) {
        let engine = self.engine_index(engine);
        if !self.keys.contains_key(&key) {
            self.insertion_order.push_back(key);
            if self.insertion_order.len() > self.capacity {
                if let Some(old) = self.insertion_order.pop_front() {
                    self.keys.remove(&old);
                }
            }
        }
        let owners = self.keys.entry(key).or_default();
        match owners.iter_mut().find(|owner| owner.engine == engine) {
            Some(owner) => owner.registered_at = now,
            None => owners.push(Owner { engine, registered_at: now }),
        }
        if owners.len() > MAX_OWNERS_PER_KEY {
            let oldest = (0..owners.len()).min_by_key(|at| owners[*at].registered_at).unwrap_or(0);
            owners.swap_remove(oldest);
        }
    }

    fn engine_index(&mut self, engine: &str) -> u32 {
        if let Some(at) = self.engine_indices.get(engine) {
            return *at;
        }
        let at = self.engine_ids.len() as u32;
        self.engine_ids.push(engine.into());
        self.engine_indices.insert(engine.into(), at);
        at
    }

    pub fn owners(&self, key: u64, now: u64) -> Vec<String> {
        let Some(owners) = self.keys.get(&key) else { return Vec::new() };
        let fresh = owners.iter().filter(|owner| now < owner.registered_at + self.stale_ms);
        fresh.map(|owner| self.engine_ids[owner.engine as usize].clone()).collect()
    }

    /// Engines that are draining or gone are dropped from every key.
    pub fn remove_engine(&mut self, engine: &str) {
        let Some(at) = self.engine_indices.get(engine).copied() else { return };
        for owners in self.keys.values_mut() {
            owners.retain(|owner| owner.engine != at);
        }
    }

    pub fn clear(&mut self) {
        self.keys.clear();
        self.insertion_order.clear();
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

#[cfg(test)]
#[path = "prefix_index_tests.rs"]
mod tests;
