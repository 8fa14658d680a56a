//! Numbers that tell two runs of one daemon apart.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::process;

/// Returns a number that differs between two runs of a process, and between two calls; never zero.
///
/// The randomness is that of the standard library's hash maps.
pub fn new_incarnation() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(process::id());
    hasher.finish() | 1
}
