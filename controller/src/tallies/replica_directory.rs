//! Where tallies are kept, as a controller without a disk knows it.

use std::collections::BTreeMap;

use parking_lot::Mutex;

/// A replica counts as there for so long after its last call, in milliseconds.
const EXPIRY_MS: u64 = 2500;

/// When each replica called last, by address.
#[derive(Default)]
pub struct ReplicaDirectory(Mutex<BTreeMap<String, u64>>);

impl ReplicaDirectory {
    /// Notes that a replica called at `now`.
    pub fn observe(&self, ip: &str, now: u64) {
        self.0.lock().insert(ip.into(), now);
    }

    /// Returns the replica that callers are sent to: one for which `is_near` holds, where there is one.
    pub fn nearest(&self, is_near: impl Fn(&str) -> bool, now: u64) -> Option<String> {
        let mut replicas = self.0.lock();
        replicas.retain(|_, called_at| *called_at + EXPIRY_MS > now);
        let near = replicas.keys().find(|ip| is_near(ip));
        near.or_else(|| replicas.keys().next()).cloned()
    }
}

#[cfg(test)]
#[path = "replica_directory_tests.rs"]
mod tests;
