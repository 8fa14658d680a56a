//! A part of a state that many states share: copied by reference and hashed once.

use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::rc::Rc;

use super::explore;

/// A shared value with its hash. Invariant: `hash` is the fingerprint of `value`.
#[derive(Debug, Eq)]
pub struct Shared<T> {
    value: Rc<T>,
    hash: u64,
}

impl<T: Hash> Shared<T> {
    /// Wraps a value and computes its hash.
    pub fn new(value: T) -> Shared<T> {
        let hash = explore::fingerprint(&value);
        Shared { value: Rc::new(value), hash }
    }

    /// Returns the hash of the value.
    pub fn fingerprint(&self) -> u64 {
        self.hash
    }
}

impl<T: Hash + Clone> Shared<T> {
    /// Replaces the value by a changed copy.
    pub fn edit(&mut self, change: impl FnOnce(&mut T)) {
        let mut value = T::clone(&self.value);
        change(&mut value);
        *self = Shared::new(value);
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Shared<T> {
        Shared { value: self.value.clone(), hash: self.hash }
    }
}

impl<T: PartialEq> PartialEq for Shared<T> {
    fn eq(&self, other: &Shared<T>) -> bool {
        self.hash == other.hash && (Rc::ptr_eq(&self.value, &other.value) || self.value == other.value)
    }
}

impl<T: Hash + Default> Default for Shared<T> {
    fn default() -> Shared<T> {
        Shared::new(T::default())
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> Hash for Shared<T> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        hasher.write_u64(self.hash);
    }
}
