//! The messages on tenants' rate limits.

use rkyv::{Archive, Deserialize, Serialize};

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
