//! Limits on the requests of a tenant, kept as a sum over all routers. Pure: time comes in with every call.
//!
//! A tenant's token bucket is split into shards that different controllers hold. A router asks a holder for a token before it
//! sends a request to an engine. Nothing is agreed on for a token: that the shards never mint more than the limit follows
//! from leases alone. A holder mints only while a quorum confirmed it a moment ago, and another takes its shard over only
//! once it must have stopped. `docs/quotas.md` weighs this against other ways and states the bounds.
#![warn(missing_docs)]

mod allowance;
mod bucket;
mod issue_clock;
mod placement;
mod shards;

pub use allowance::{Allowances, Bounds};
pub use bucket::{Quota, TokenBucket};
pub use issue_clock::{IssueClock, LEASE_MS, OWNER_EXPIRY_MS, REACQUIRE_DELAY_MS};
pub use placement::{shard_owners, EligibleOwner, SHARDS};
pub use shards::{ShardCounters, Shards, TokenDecision};

#[cfg(test)]
mod testing;
