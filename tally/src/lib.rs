//! Tallies: counters that every replica goes on with on both sides of a partition, and that agree once they hear of one
//! another again.
//!
//! [`TallyLog`] is the replicated state, a grow-only set of entries in one log for each origin; it does no I/O and knows no
//! time. Old entries are sealed: digests stand for their keys. [`ReplicaSet`] knows which replicas have what on disk, and decides when an entry may be acknowledged. What is
//! stored is a [`TallyRecord`]. The design is in `docs/counters.md`.

#![deny(missing_docs)]

mod digest;
mod key_index;
mod lag_tracker;
mod limits;
mod log;
mod origin_log;
mod packed_batch;
mod packing_gate;
mod record;
mod replica_set;
#[cfg(test)]
mod testing;
mod totals;
mod version_vector;

pub use lag_tracker::{LagTracker, FOREIGN_LAG_MS};
pub use limits::{check_entry, Capacity, EntryCounts, InvalidEntry, MAX_AMOUNT, MAX_NAME_BYTES};
pub use log::{Dot, TallyLog};
pub use packing_gate::PackingGate;
pub use record::TallyRecord;
pub use replica_set::{Redundancy, ReplicaSet, REACH_MS};
pub use version_vector::VersionVector;
