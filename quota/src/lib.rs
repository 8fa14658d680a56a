//! Rate limits of tenants, enforced on the sum over all routers. The crate does no I/O and reads no clock: time comes in with
//! every call.
//!
//! A tenant's token bucket is split into shards that different controllers own. A router asks an owner for a token before it
//! sends a request to an engine. No consensus round is needed for a token: that the shards never issue more than the limit
//! follows from time leases alone. An owner issues tokens only while a quorum confirmed it a moment ago, and another
//! controller takes its shard over only once the lease must have ended. While no owner answers, routers fall back on
//! [`Allowances`]. `docs/quotas.md` compares this with other designs and states the bounds.
#![deny(missing_docs)]

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
