//! Numbers that tell two runs of one daemon apart.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::process;

/// A number that differs between lives of a process: the random state of the standard library.
pub fn new_incarnation() -> u64 {
    let seed = RandomState::new();
    let mut mix = seed.build_hasher();
    mix.write_u32(process::id());
    mix.finish() | 1
}
