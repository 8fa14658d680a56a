//! Digests that stand for idempotency keys.
//!
//! A digest is the first 16 bytes of SHA-256 over the tally's name, with its length before it, and the key. Among n keys two
//! have the same one with a probability below n^2 / 2^129: 2 in 10^27 for a million, 2 in 10^21 for a thousand million.

use protocol::tally::KeyDigest;
use sha2::{Digest, Sha256};

/// Begins a digest that is written as a key, for replicas that know keys as text only. No client's key has this character.
const DIGEST_PREFIX: char = '/';

/// Returns the digest of a key in its tally.
pub(crate) fn digest_key(tally: &str, instance_id: &str) -> KeyDigest {
    let hash = Sha256::new().chain_update((tally.len() as u64).to_le_bytes()).chain_update(tally);
    let full: [u8; 32] = hash.chain_update(instance_id).finalize().into();
    let mut digest = [0; 16];
    digest.copy_from_slice(&full[..16]);
    KeyDigest(digest)
}

/// Returns a digest as a key that no client can send.
pub(crate) fn to_key(digest: KeyDigest) -> String {
    format!("{DIGEST_PREFIX}{:032x}", u128::from_be_bytes(digest.0))
}

/// Parses what [`to_key`] returned; `None` for a client's key.
pub(crate) fn parse_key(key: &str) -> Option<KeyDigest> {
    let digits = key.strip_prefix(DIGEST_PREFIX).filter(|digits| digits.len() == 32)?;
    u128::from_str_radix(digits, 16).ok().map(|number| KeyDigest(number.to_be_bytes()))
}

#[cfg(test)]
#[path = "digest_tests.rs"]
mod tests;
