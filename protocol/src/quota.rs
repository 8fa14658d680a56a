//! What routers and controllers say about tenants' limits. Since version 5.

use kernel::hashing;

use crate::message;

/// A request for one token of a tenant, to a controller that holds a shard of its bucket.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct TokenRequest {
    /// The tenant's name.
    pub tenant: String,
    /// Its limit in the configuration that the router holds, in thousandths of a request a second.
    pub rate_milli: u64,
    /// Requests that may come at once above the rate, in thousandths.
    pub burst_milli: u64,
}

/// The answer to `TokenRequest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum TokenResponse {
    /// The request may be sent.
    Granted,
    /// The shard is empty for so long at least.
    Denied {
        /// Milliseconds until its next token.
        retry_after_ms: u64,
    },
    /// The controller holds no shard of the tenant, or can't know that it still does.
    NotHeld,
}

/// A controller that may hold shards.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ShardOwner {
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
}

/// What one shard has given and refused.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ShardUsage {
    /// The tenant's name.
    pub tenant: String,
    /// Tokens given since the shard is held there.
    pub granted: u64,
    /// Requests for a token that were refused.
    pub denied: u64,
    /// Tokens left in the shard, in thousandths.
    pub tokens_milli: u64,
}

const MILLI: f64 = 1000.0;

/// A number of requests in thousandths.
pub fn to_milli(number: f64) -> u64 {
    (number * MILLI).round() as u64
}

/// The number of requests of so many thousandths.
pub fn from_milli(thousandths: u64) -> f64 {
    thousandths as f64 / MILLI
}

/// The name under which a router tells which list of holders it has, among the versions of engine lists.
const HOLDERS: &str = "shard holders";

/// The entry by which a router tells which list of holders it has.
pub fn told_holders(mark: u64) -> (String, u64, u64) {
    (message::hidden_key(HOLDERS), mark, 0)
}

/// The key of that entry.
pub fn holders_key() -> String {
    message::hidden_key(HOLDERS)
}

/// What tells one list of holders from others.
pub fn holders_mark(list: &[ShardOwner]) -> u64 {
    list.iter().fold(1, |mark, holder| {
        let one = hashing::combine(hashing::hash(holder.ip.as_bytes()), hashing::hash(holder.zone.as_bytes()));
        hashing::combine(mark, one)
    })
}

#[cfg(test)]
#[path = "quota_tests.rs"]
mod tests;
