//! Random numbers that distinguish the runs of a daemon.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::process;

/// Returns a random number that differs between runs of a process and between calls; never zero.
///
/// The randomness comes from the seed of the standard library's hash maps.
pub fn new_incarnation() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(process::id());
    hasher.finish() | 1
}
