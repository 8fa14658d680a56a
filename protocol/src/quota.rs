//! Messages between routers and controllers about tenants' rate limits. Since version 5.
//!
//! A tenant's limit is a token bucket that is divided into shards; each shard is owned by a controller, which issues
//! its tokens.

mod messages;

use kernel::hashing;

use crate::hidden_key::HiddenKey;
use crate::version_entry::VersionEntry;

pub use messages::{ShardOwner, ShardUsage, TokenRequest, TokenResponse};

/// Thousandths per unit.
const MILLI: f64 = 1000.0;

/// Converts a number of requests to thousandths.
pub fn to_milli(number: f64) -> u64 {
    (number * MILLI).round() as u64
}

/// Converts thousandths to a number of requests.
pub fn from_milli(thousandths: u64) -> f64 {
    thousandths as f64 / MILLI
}

/// Returns the entry by which a router announces the list of shard owners that it holds.
pub fn shard_owners_entry(fingerprint: u64) -> VersionEntry {
    VersionEntry::new(HiddenKey::ShardOwners, fingerprint, 0)
}

/// Returns a fingerprint that differs between different lists of shard owners.
pub fn shard_owners_fingerprint(list: &[ShardOwner]) -> u64 {
    list.iter().fold(1, |fingerprint, owner| {
        let owner_hash = hashing::combine(hashing::hash(owner.ip.as_bytes()), hashing::hash(owner.zone.as_bytes()));
        hashing::combine(fingerprint, owner_hash)
    })
}

#[cfg(test)]
#[path = "quota_tests.rs"]
mod tests;
