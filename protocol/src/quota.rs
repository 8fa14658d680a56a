//! What routers and controllers say about tenants' rate limits. Since version 5.
//!
//! A tenant's limit is a token bucket that is divided into shards; each shard has an owner among the controllers, which
//! issues its tokens.

use kernel::hashing;
use rkyv::{Archive, Deserialize, Serialize};

use crate::hidden_key::HiddenKey;
use crate::version_entry::VersionEntry;

/// Asks the owner of a shard of a tenant's bucket for one token.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The tenant's name.
    pub tenant: String,
    /// Its limit in the configuration that the router has, in thousandths of a request a second.
    pub rate_milli: u64,
    /// Requests that may come at once above the rate, in thousandths.
    pub burst_milli: u64,
}

/// The response to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum TokenResponse {
    /// The request may be sent.
    Granted,
    /// The shard is empty for this long at least.
    Denied {
        /// Milliseconds until its next token.
        retry_after_ms: u64,
    },
    /// The controller owns no shard of the tenant, or can't know that it still does.
    NotHeld,
}

/// A controller that may own shards.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardOwner {
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
}

/// What one shard has granted and denied.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardUsage {
    /// The tenant's name.
    pub tenant: String,
    /// Tokens granted since the shard is owned there.
    pub granted: u64,
    /// Requests for a token that were denied.
    pub denied: u64,
    /// Tokens left in the shard, in thousandths.
    pub tokens_milli: u64,
}

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
