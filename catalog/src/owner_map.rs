//! A bounded map from prefix keys to the engines that own them, which the index of a controller and the cache of a router
//! share.

use lru::LruCache;

/// An engine that holds the KV cache of a prefix.
pub(crate) struct Owner<E> {
    pub(crate) engine: E,
    /// When it was last registered, in milliseconds.
    pub(crate) registered_at: u64,
}

/// Invariants: a key has each engine once and at most `max_owners` engines; at most `capacity` keys are held, and the one that
/// was registered the longest ago is evicted.
pub(crate) struct OwnerMap<E> {
    /// Unbounded in itself, since a bounded one takes the memory of all its keys at once.
    owners: LruCache<u64, Vec<Owner<E>>>,
    capacity: usize,
    max_owners: usize,
}

impl<E> OwnerMap<E> {
    pub(crate) fn new(capacity: usize, max_owners: usize) -> OwnerMap<E> {
        OwnerMap { owners: LruCache::unbounded(), capacity, max_owners }
    }

    /// Adds an owner of a key, or renews its time. A key with too many owners loses the one registered the longest ago.
    pub(crate) fn record<Q: Copy>(&mut self, key: u64, engine: Q, now: u64)
    where
        E: PartialEq<Q> + From<Q>,
    {
        let owners = self.owners.get_or_insert_mut(key, Vec::new);
        match owners.iter_mut().find(|owner| owner.engine == engine) {
            Some(owner) => owner.registered_at = now,
            None => owners.push(Owner { engine: engine.into(), registered_at: now }),
        }
        if owners.len() > self.max_owners {
            let oldest = (0..owners.len()).min_by_key(|at| owners[*at].registered_at).unwrap_or(0);
            owners.swap_remove(oldest);
        }
        if self.owners.len() > self.capacity {
            self.owners.pop_lru();
        }
    }

    /// Returns the owners of a key, in the order in which they were added.
    pub(crate) fn owners(&self, key: u64) -> &[Owner<E>] {
        self.owners.peek(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the keys, the one that was registered last first.
    pub(crate) fn keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.owners.iter().map(|(key, _)| *key)
    }

    /// Removes an engine from every key. The keys stay.
    pub(crate) fn remove_engine<Q: Copy>(&mut self, engine: Q)
    where
        E: PartialEq<Q>,
    {
        for (_, owners) in &mut self.owners {
            owners.retain(|owner| owner.engine != engine);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.owners.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.owners.len()
    }
}
