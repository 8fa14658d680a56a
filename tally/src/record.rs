//! What a replica stores.

use consensus::StoredRecord;
use protocol::tally::{Origin, TallyBatch};
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
