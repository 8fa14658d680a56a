//! Digests of idempotency keys, stored and sent in place of the keys.
//!
//! A digest is the first 16 bytes of SHA-256 over the length of the tally's name, the name and the key. The probability
//! that any two of n keys collide is below n^2 / 2^129: 2 in 10^27 for a million keys, 2 in 10^21 for a billion.

use protocol::tally::KeyDigest;
use sha2::{Digest, Sha256};

/// Prefix of a digest in text form, for replicas that support only text keys. Client keys can't contain this character.
const DIGEST_PREFIX: char = '/';

/// Returns the digest of an idempotency key within a tally.
pub(crate) fn digest_key(tally: &str, instance_id: &str) -> KeyDigest {
    let hash = Sha256::new().chain_update((tally.len() as u64).to_le_bytes()).chain_update(tally);
    let full: [u8; 32] = hash.chain_update(instance_id).finalize().into();
    let mut digest = [0; 16];
    digest.copy_from_slice(&full[..16]);
    KeyDigest(digest)
}

/// Formats a digest as a key that no client can send.
pub(crate) fn to_key(digest: KeyDigest) -> String {
    format!("{DIGEST_PREFIX}{:032x}", u128::from_be_bytes(digest.0))
}

/// Parses a digest that [`to_key`] formatted; `None` for a client's key.
pub(crate) fn parse_key(key: &str) -> Option<KeyDigest> {
    let digits = key.strip_prefix(DIGEST_PREFIX).filter(|digits| digits.len() == 32)?;
    u128::from_str_radix(digits, 16).ok().map(|number| KeyDigest(number.to_be_bytes()))
}

#[cfg(test)]
#[path = "digest_tests.rs"]
mod tests;
