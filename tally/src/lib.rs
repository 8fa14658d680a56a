//! Tallies: replicated counters that accept additions on every side of a network partition and converge once it heals.
//!
//! [`TallyLog`] is the replicated state, a grow-only set of entries in one log per origin; it does no I/O and reads no
//! clock. Old entries are sealed: digests replace their keys. [`ReplicaSet`] tracks which entries each replica has on
//! disk, tells a network partition from a loss of replicas, and decides when an entry may be acknowledged. [`TallyRecord`] is the stored form. The design is in
//! `docs/counters.md`.

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
mod zone_contact;

pub use lag_tracker::{LagTracker, FORWARDING_DELAY_MS};
pub use limits::{check_entry, Capacity, EntryCounts, InvalidEntry, MAX_AMOUNT, MAX_NAME_BYTES};
pub use log::{Dot, TallyLog};
pub use packing_gate::PackingGate;
pub use record::TallyRecord;
pub use replica_set::{Redundancy, ReplicaSet};
pub use version_vector::VersionVector;
pub use zone_contact::REACH_MS;
