//! Hashes that are the same on every machine and in every version.

/// FNV-1a with a final mix: the same on every machine and in every version.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut mix = 0xcbf2_9ce4_8422_2325u64;
    for byte in bytes {
        mix = (mix ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    stir(mix)
}

/// Mixes two numbers into one.
pub fn combine(left: u64, right: u64) -> u64 {
    stir(left.rotate_left(23) ^ right.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

fn stir(mut mix: u64) -> u64 {
    mix ^= mix >> 33;
    mix = mix.wrapping_mul(0xff51_afd7_ed55_8ccd);
    mix ^= mix >> 33;
    mix = mix.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mix ^ (mix >> 33)
}
