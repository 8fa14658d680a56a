//! A bounded LRU map from prefix keys to the engines that own them, used by the index of a controller and by the cache
//! of a router.

use lru::LruCache;

/// An engine that holds the KV cache of a prefix.
pub(crate) struct Owner<E> {
    pub(crate) engine: E,
    /// When it was last recorded for the prefix, in milliseconds.
    pub(crate) registered_at: u64,
}

/// Maps prefix keys to their owners.
///
/// Invariants: a key has at most `max_owners` owners, all of them different engines; there are at most `capacity` keys.
/// A full map evicts the least recently recorded key.
pub(crate) struct OwnerMap<E> {
    /// Unbounded, since a bounded `LruCache` allocates the memory for all its keys at once.
    owners: LruCache<u64, Vec<Owner<E>>>,
    capacity: usize,
    max_owners: usize,
}

impl<E> OwnerMap<E> {
    pub(crate) fn new(capacity: usize, max_owners: usize) -> OwnerMap<E> {
        OwnerMap { owners: LruCache::unbounded(), capacity, max_owners }
    }

    /// Adds an owner of a key or updates its time. A key with too many owners loses the least recently recorded one.
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
            let oldest = (0..owners.len()).min_by_key(|index| owners[*index].registered_at).unwrap_or(0);
            owners.swap_remove(oldest);
        }
        if self.owners.len() > self.capacity {
            self.owners.pop_lru();
        }
    }

    /// Returns the owners of a key.
    pub(crate) fn owners(&self, key: u64) -> &[Owner<E>] {
        self.owners.peek(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the keys, most recently recorded first.
    pub(crate) fn keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.owners.iter().map(|(key, _)| *key)
    }

    /// Removes an engine from every key. Keys stay even if they have no owner left.
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
