//! What a replica stores.

use std::sync::Arc;

use consensus::StoredRecord;
use protocol::tally::{Origin, PackedBatch, TallyBatch};
use rkyv::{Archive, Deserialize, Serialize};

/// One change of a replica's state, as it is logged. Invariant: variants keep their order; later versions add theirs at
/// the end.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum TallyRecord {
    /// The origin of this disk: the first record of each store.
    Origin(Origin),
    /// Entries of a log. Where some of them are known already, these are passed over.
    Batch(TallyBatch),
    /// This replica had caught up with the others once.
    CaughtUp,
    /// Entries of a log that came packed. Where some of them are known already, these are passed over.
    Packed(Box<PackedBatch>),
    /// A chunk of a log from which on texts of keys are not kept. It takes the place of its entries, or adds them where they
    /// are not known.
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
