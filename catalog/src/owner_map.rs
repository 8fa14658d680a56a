//! A bounded map from prefix keys to the engines that own them, which the index of a controller and the cache of a router
//! share.

use std::collections::{HashMap, VecDeque};

/// An engine that holds the KV cache of a prefix.
pub(crate) struct Owner<E> {
    pub(crate) engine: E,
    /// When it was last registered, in milliseconds.
    pub(crate) registered_at: u64,
}

/// Invariants: a key has each engine once and at most `max_owners` engines; `insertion_order` holds each key once; at most
/// `capacity` keys are held, and the one that was inserted first is evicted.
pub(crate) struct OwnerMap<E> {
    owners: HashMap<u64, Vec<Owner<E>>>,
    insertion_order: VecDeque<u64>,
    capacity: usize,
    max_owners: usize,
}

impl<E> OwnerMap<E> {
    pub(crate) fn new(capacity: usize, max_owners: usize) -> OwnerMap<E> {
        OwnerMap { owners: HashMap::new(), insertion_order: VecDeque::new(), capacity, max_owners }
    }

    /// Adds an owner of a key, or renews its time. A key with too many owners loses the one registered the longest ago.
    pub(crate) fn record<Q: Copy>(&mut self, key: u64, engine: Q, now: u64)
    where
        E: PartialEq<Q> + From<Q>,
    {
        self.reserve(key);
        let owners = self.owners.entry(key).or_default();
        match owners.iter_mut().find(|owner| owner.engine == engine) {
            Some(owner) => owner.registered_at = now,
            None => owners.push(Owner { engine: engine.into(), registered_at: now }),
        }
        if owners.len() > self.max_owners {
            let oldest = (0..owners.len()).min_by_key(|at| owners[*at].registered_at).unwrap_or(0);
            owners.swap_remove(oldest);
        }
    }

    /// Makes room for a key that is not held yet.
    fn reserve(&mut self, key: u64) {
        if self.owners.contains_key(&key) {
            return;
        }
        self.insertion_order.push_back(key);
        if self.insertion_order.len() <= self.capacity {
            return;
        }
        if let Some(evicted) = self.insertion_order.pop_front() {
            self.owners.remove(&evicted);
        }
    }

    /// Returns the owners of a key, in the order in which they were added.
    pub(crate) fn owners(&self, key: u64) -> &[Owner<E>] {
        self.owners.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the keys in the order in which they were inserted.
    pub(crate) fn keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.insertion_order.iter().copied()
    }

    /// Removes an engine from every key. The keys stay.
    pub(crate) fn remove_engine<Q: Copy>(&mut self, engine: Q)
    where
        E: PartialEq<Q>,
    {
        for owners in self.owners.values_mut() {
            owners.retain(|owner| owner.engine != engine);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.owners.clear();
        self.insertion_order.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.owners.len()
    }
}
