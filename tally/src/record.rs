//! The records that a replica stores.

use std::sync::Arc;

use consensus::StoredRecord;
use protocol::tally::{Origin, PackedBatch, TallyBatch};
use rkyv::{Archive, Deserialize, Serialize};

/// One change of a replica's state, as written to the log. Invariant: the order of the variants is part of the stored
/// format; new ones go at the end.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum TallyRecord {
    /// The origin assigned to this disk; the first record of each store.
    Origin(Origin),
    /// Entries of a log. Those that are already known are skipped.
    Batch(TallyBatch),
    /// This replica has caught up with the others.
    CaughtUp,
    /// Entries of a log that were received packed. Those that are already known are skipped.
    Packed(Box<PackedBatch>),
    /// A sealed chunk of a log, without the text of keys. It replaces its entries, or adds those that are not known.
    Sealed(Arc<PackedBatch>),
}

kernel::impl_archive_bytes!(TallyRecord);

impl StoredRecord for TallyRecord {
    fn to_bytes(&self) -> Vec<u8> {
        self.to_bytes()
    }

    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        TallyRecord::from_bytes(bytes)
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
