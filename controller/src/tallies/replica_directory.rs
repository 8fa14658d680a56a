//! The tally replicas known to a controller without a disk.

use std::collections::BTreeMap;

use parking_lot::Mutex;

/// Time after its last call at which a replica expires, in ms.
const EXPIRY_MS: u64 = 2500;

/// The time of each replica's last call, by address.
#[derive(Default)]
pub struct ReplicaDirectory(Mutex<BTreeMap<String, u64>>);

impl ReplicaDirectory {
    /// Records that a replica called at `now`.
    pub fn observe(&self, ip: &str, now: u64) {
        self.0.lock().insert(ip.into(), now);
    }

    /// Returns the replica to redirect callers to, preferably one for which `is_near` holds.
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
