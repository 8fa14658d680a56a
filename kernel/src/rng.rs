//! A small seeded random number generator.

/// The multiplier of xorshift64*.
const OUTPUT_MULTIPLIER: u64 = 0x2545_F491_4F6C_DD1D;
/// The number of low bits of the product that are dropped because they are the least random.
const DROPPED_BITS: u32 = 11;

/// A xorshift64* generator for jitter, weighted choices and simulations; not for secrets.
///
/// Results of seeded simulations are recorded, so the sequence for a seed must never change.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator that yields the same sequence for the same seed.
    pub fn new(seed: u64) -> Self {
        Rng(seed | 1)
    }

    /// Returns the next number, which is below 2^53.
    pub fn next_u64(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(OUTPUT_MULTIPLIER) >> DROPPED_BITS
    }

    /// Returns a number below `end`; zero if `end` is zero.
    pub fn below(&mut self, end: u64) -> u64 {
        if end == 0 {
            return 0;
        }
        self.next_u64() % end
    }
}
