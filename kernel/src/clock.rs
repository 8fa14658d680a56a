//! The steady clock, in whole milliseconds since the process began. The time of day is never used
//! for a decision: machines disagree on it and it jumps.

use std::collections::hash_map::RandomState;
use std::process;
use std::sync::OnceLock;
use std::time::Instant;

static BIRTH: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the first call in this process; never goes back.
pub fn now() -> u64 {
    BIRTH.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// A number that differs between lives of a process: the random state of the standard library.
pub fn incarnation() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let seed = RandomState::new();
    let mut mix = seed.build_hasher();
    mix.write_u32(process::id());
    mix.finish() | 1
}

/// A small generator for jitter and weighted picks; not for secrets.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(seed | 1)
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11
    }

    /// A number below `top`; zero when `top` is zero.
    pub fn below(&mut self, top: u64) -> u64 {
        if top == 0 {
            return 0;
        }
        self.next_u64() % top
    }
}

/// FNV-1a with a final mix: the same on every machine and in every version.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut mix = 0xcbf2_9ce4_8422_2325u64;
    for byte in bytes {
        mix = (mix ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    stir(mix)
}

/// Mixes two numbers into one.
pub fn combine_hashes(left: u64, right: u64) -> u64 {
    stir(left.rotate_left(23) ^ right.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

fn stir(mut mix: u64) -> u64 {
    mix ^= mix >> 33;
    mix = mix.wrapping_mul(0xff51_afd7_ed55_8ccd);
    mix ^= mix >> 33;
    mix = mix.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mix ^ (mix >> 33)
}
