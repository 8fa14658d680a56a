//! Rate limits of tenants, enforced on the sum over all routers. The crate does no I/O and reads no clock: callers pass
//! the time.
//!
//! A tenant's token bucket is split into shards that different controllers own. A router asks an owner for a token
//! before it sends a request to an engine. A token needs no consensus round: time leases alone ensure that the shards
//! never issue more than the limit. An owner issues tokens only while its last confirmation by a quorum is recent, and
//! another controller takes over its shard only once the lease must have ended. While no owner answers, routers fall
//! back to their [`Allowances`]. `docs/quotas.md` compares this with other designs and states the bounds.
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
