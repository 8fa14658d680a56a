//! Messages for tenants' rate limits.

use rkyv::{Archive, Deserialize, Serialize};

/// Asks the owner of a shard of a tenant's bucket for one token.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The tenant's name.
    pub tenant: String,
    /// Its rate limit in the router's configuration, in thousandths of a request per second.
    pub rate_milli: u64,
    /// Burst size: requests that are allowed at once above the rate, in thousandths.
    pub burst_milli: u64,
}

/// The response to a [`TokenRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum TokenResponse {
    /// The request may be sent.
    Granted,
    /// The shard has no token left.
    Denied {
        /// Minimum time until its next token, in milliseconds.
        retry_after_ms: u64,
    },
    /// The controller owns no shard of the tenant, or can't be sure that it still does.
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

/// The usage of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ShardUsage {
    /// The tenant's name.
    pub tenant: String,
    /// Tokens granted since this controller became the shard's owner.
    pub granted: u64,
    /// Requests for a token that were denied.
    pub denied: u64,
    /// Tokens left in the shard, in thousandths.
    pub tokens_milli: u64,
}
