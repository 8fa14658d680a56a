//! A small seeded random number generator.

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
