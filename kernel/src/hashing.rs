//! Stable hashes: the same on every machine and in every version.
//!
//! Daemons store these hashes and compare them with those of other daemons, so the functions must never change.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// 2^64 divided by the golden ratio.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the FNV-1a hash of `bytes`, finalized so that every input bit reaches every bit of the result.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    finalize(hash)
}

/// Combines two hashes into one; their order matters.
pub fn combine(left: u64, right: u64) -> u64 {
    finalize(left.rotate_left(23) ^ right.wrapping_mul(GOLDEN_RATIO))
}

/// The 64-bit finalizer of MurmurHash3.
fn finalize(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
