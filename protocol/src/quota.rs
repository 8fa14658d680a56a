//! What routers and controllers say about tenants' rate limits. Since version 5.
//!
//! A tenant's limit is a token bucket that is divided into shards; each shard has an owner among the controllers, which
//! issues its tokens.

mod messages;

use kernel::hashing;

use crate::hidden_key::HiddenKey;
use crate::version_entry::VersionEntry;

pub use messages::{ShardOwner, ShardUsage, TokenRequest, TokenResponse};

/// Thousandths in one.
const MILLI: f64 = 1000.0;

/// Returns a number of requests in thousandths.
pub fn to_milli(number: f64) -> u64 {
    (number * MILLI).round() as u64
}

/// Returns the number of requests of so many thousandths.
pub fn from_milli(thousandths: u64) -> f64 {
    thousandths as f64 / MILLI
}

/// Returns the entry by which a router names the list of shard owners that it holds.
pub fn shard_owners_entry(fingerprint: u64) -> VersionEntry {
    VersionEntry::new(HiddenKey::ShardOwners, fingerprint, 0)
}

/// Returns a number that differs between lists of shard owners that differ.
pub fn shard_owners_fingerprint(list: &[ShardOwner]) -> u64 {
    list.iter().fold(1, |fingerprint, owner| {
        let one = hashing::combine(hashing::hash(owner.ip.as_bytes()), hashing::hash(owner.zone.as_bytes()));
        hashing::combine(fingerprint, one)
    })
}

#[cfg(test)]
#[path = "quota_tests.rs"]
mod tests;
