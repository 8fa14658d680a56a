//! The catalog itself, in the controller that holds the duty. Never replicated: after a loss it fills
//! again from what routers register.

use std::collections::{HashMap, VecDeque};

struct Owner {
    engine: u32,
    heard: u64,
}

/// Invariants: names are mapped to dense indices in `names`; a key has each engine once; at most
/// `room` keys are held, those unheard for longest give way; nothing older than `stale_ms` is told.
pub struct PrefixIndex {
    names: Vec<String>,
    index: HashMap<String, u32>,
    keys: HashMap<u64, Vec<Owner>>,
    order: VecDeque<u64>,
    room: usize,
    stale_ms: u64,
}

/// How many owners of one key are kept: more than can be of use to a choice.
const OWNERS: usize = 8;

impl PrefixIndex {
    pub fn new(room: usize, stale_ms: u64) -> Self {
        PrefixIndex {
            names: Vec::new(),
            index: Default::default(),
            keys: Default::default(),
            order: Default::default(),
            room,
            stale_ms,
        }
    }

    pub fn register(&mut self, key: u64, engine: &str, now: u64) {
        let engine = self.dense(engine);
        if !self.keys.contains_key(&key) {
            self.order.push_back(key);
            if self.order.len() > self.room {
                if let Some(old) = self.order.pop_front() {
                    self.keys.remove(&old);
                }
            }
        }
        let owners = self.keys.entry(key).or_default();
        match owners.iter_mut().find(|owner| owner.engine == engine) {
            Some(owner) => owner.heard = now,
            None => owners.push(Owner { engine, heard: now }),
        }
        if owners.len() > OWNERS {
            let oldest = (0..owners.len()).min_by_key(|at| owners[*at].heard).unwrap_or(0);
            owners.swap_remove(oldest);
        }
    }

    fn dense(&mut self, engine: &str) -> u32 {
        if let Some(at) = self.index.get(engine) {
            return *at;
        }
        let at = self.names.len() as u32;
        self.names.push(engine.into());
        self.index.insert(engine.into(), at);
        at
    }

    pub fn find(&self, key: u64, now: u64) -> Vec<String> {
        let Some(owners) = self.keys.get(&key) else { return Vec::new() };
        let fresh = owners.iter().filter(|owner| now < owner.heard + self.stale_ms);
        fresh.map(|owner| self.names[owner.engine as usize].clone()).collect()
    }

    /// Engines that are draining or gone are dropped from every key.
    pub fn drop_engine(&mut self, engine: &str) {
        let Some(at) = self.index.get(engine).copied() else { return };
        for owners in self.keys.values_mut() {
            owners.retain(|owner| owner.engine != at);
        }
    }

    pub fn clear(&mut self) {
        self.keys.clear();
        self.order.clear();
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn owners_go_stale_and_dropped_engines_are_not_told() {
        let mut prefix_index = super::PrefixIndex::new(10, 30_000);
        prefix_index.register(1, "i-1", 0);
        prefix_index.register(1, "i-2", 10_000);
        assert_eq!(prefix_index.find(1, 20_000), ["i-1", "i-2"]);
        assert_eq!(prefix_index.find(1, 30_000), ["i-2"]);
        prefix_index.drop_engine("i-2");
        assert!(prefix_index.find(1, 20_000).iter().all(|name| name == "i-1"));
    }

    #[test]
    fn room_is_bounded() {
        let mut prefix_index = super::PrefixIndex::new(2, 1000);
        for key in 0..5 {
            prefix_index.register(key, "i-1", 0);
        }
        assert_eq!(prefix_index.len(), 2);
        assert!(prefix_index.find(4, 0).len() == 1 && prefix_index.find(0, 0).is_empty());
    }
}
