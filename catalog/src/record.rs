//! What one router recorded: the local prefix that it scans before it asks the catalog.

use std::collections::{HashMap, VecDeque};

use crate::Counts;

/// Invariants: an entry is told only while it is younger than `stale_ms` and not suppressed; at
/// most `room` keys; suppression is keyed by (engine, key), never by request.
pub struct Record {
    keys: HashMap<u64, Vec<(String, u64)>>,
    order: VecDeque<u64>,
    hushed: HashMap<(String, u64), u64>,
    room: usize,
    stale_ms: u64,
    pub counts: Counts,
}

const OWNERS: usize = 4;

impl Record {
    pub fn new(room: usize, stale_ms: u64) -> Self {
        Record {
            keys: Default::default(),
            order: Default::default(),
            hushed: Default::default(),
            room,
            stale_ms,
            counts: Default::default(),
        }
    }

    pub fn note(&mut self, key: u64, engine: &str, now: u64) {
        if !self.keys.contains_key(&key) {
            self.order.push_back(key);
            if self.order.len() > self.room {
                if let Some(old) = self.order.pop_front() {
                    self.keys.remove(&old);
                }
            }
        }
        let owners = self.keys.entry(key).or_default();
        match owners.iter_mut().find(|owner| owner.0 == engine) {
            Some(owner) => owner.1 = now,
            None => owners.push((engine.into(), now)),
        }
        if owners.len() > OWNERS {
            let oldest = (0..owners.len()).min_by_key(|at| owners[*at].1).unwrap_or(0);
            owners.swap_remove(oldest);
        }
    }

    /// How many of the keys, from the first on, are known here.
    pub fn known(&self, keys: &[u64], now: u64) -> usize {
        keys.iter().take_while(|key| !self.owners(**key, now).is_empty()).count()
    }

    pub fn owners(&self, key: u64, now: u64) -> Vec<&str> {
        let Some(owners) = self.keys.get(&key) else { return Vec::new() };
        let fresh = owners.iter().filter(|owner| now < owner.1 + self.stale_ms && !self.hushed(&owner.0, key, now));
        fresh.map(|owner| owner.0.as_str()).collect()
    }

    pub fn hush(&mut self, engine: &str, key: u64, until: u64) {
        if self.hushed.len() > self.room {
            self.hushed.clear();
        }
        self.hushed.insert((engine.into(), key), until);
    }

    pub fn hushed(&self, engine: &str, key: u64, now: u64) -> bool {
        if self.hushed.is_empty() {
            return false;
        }
        self.hushed.get(&(engine.to_string(), key)).is_some_and(|until| now < *until)
    }

    pub fn forget(&mut self, engine: &str) {
        for owners in self.keys.values_mut() {
            owners.retain(|owner| owner.0 != engine);
        }
    }

    /// All that is fresh, for a catalog that lost its state.
    pub fn all(&self, now: u64) -> Vec<(u64, String)> {
        let mut list = Vec::new();
        for key in &self.order {
            for engine in self.owners(*key, now) {
                list.push((*key, engine.to_string()));
            }
        }
        list
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn only_the_missing_suffix_is_unknown() {
        let mut record = super::Record::new(10, 1000);
        record.note(1, "i-1", 0);
        record.note(2, "i-1", 0);
        assert_eq!(record.known(&[1, 2, 3], 10), 2);
        assert_eq!(record.known(&[3, 1, 2], 10), 0);
        assert_eq!(record.known(&[1, 2, 3], 1000), 0);
    }

    #[test]
    fn a_short_return_hushes_one_engine_for_one_key_only() {
        let mut record = super::Record::new(10, 1000);
        for (key, engine) in [(1, "i-1"), (1, "i-2"), (2, "i-1")] {
            record.note(key, engine, 0);
        }
        record.hush("i-1", 1, 500);
        assert_eq!(record.owners(1, 100), ["i-2"]);
        assert_eq!(record.owners(2, 100), ["i-1"]);
        assert_eq!(record.owners(1, 500), ["i-1", "i-2"]);
        assert_eq!(record.all(600).len(), 3);
    }
}
