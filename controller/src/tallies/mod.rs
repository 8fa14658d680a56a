//! Tallies at this controller: a replica where there is a disk, else the way to those that have one.
//!
//! The decisions are in the crate `tally`. [`replica`] meets the disk and the callers, [`exchange`] the other replicas.

pub mod exchange;
mod replica;
mod replica_directory;

use protocol::tally::{PackedBatch, TallySync, TallySynced};

pub use replica::{AddOutcome, Refusal, TallyReplica, TallyUsage};
pub use replica_directory::ReplicaDirectory;

/// What this controller has to do with tallies.
pub enum Tallies {
    /// It has a disk and keeps them.
    Replica(TallyReplica),
    /// It has none and sends callers to those that keep them.
    Elsewhere(ReplicaDirectory),
}

impl Tallies {
    /// Takes what a replica sent, packed or not, and responds once it is on disk, or at once where nothing is kept here.
    pub fn receive(
        &self,
        sync: &TallySync,
        packed: &[PackedBatch],
        now: u64,
        respond: impl FnOnce(TallySynced) + Send + 'static,
    ) {
        match self {
            Tallies::Replica(replica) => replica.receive(sync, packed, respond),
            Tallies::Elsewhere(directory) => {
                directory.observe(&sync.ip, now);
                respond(TallySynced::without_disk());
            }
        }
    }
}
