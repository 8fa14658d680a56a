//! Tallies on this controller: a replica if it has a disk, otherwise the addresses of the replicas.
//!
//! The crate `tally` implements the logic. [`replica`] connects it to the disk and the callers, [`exchange`] to the
//! other replicas. [`zone_probes`] tells whether silent replicas are lost or behind a network partition.

pub mod exchange;
mod replica;
mod replica_directory;
pub mod zone_probes;

use protocol::tally::{PackedBatch, TallySync, TallySynced};

pub use replica::{AddOutcome, Refusal, TallyReplica, TallyUsage};
pub use replica_directory::ReplicaDirectory;

/// How this controller serves tallies.
pub enum Tallies {
    /// It has a disk and stores a replica.
    Replica(TallyReplica),
    /// It has no disk and redirects callers to a replica.
    Redirect(ReplicaDirectory),
}

impl Tallies {
    /// Receives batches, packed or not, from a replica. Responds once they are on disk, or at once if there is no
    /// replica here.
    pub fn receive(
        &self,
        sync: &TallySync,
        packed: &[PackedBatch],
        now: u64,
        respond: impl FnOnce(TallySynced) + Send + 'static,
    ) {
        match self {
            Tallies::Replica(replica) => replica.receive(sync, packed, respond),
            Tallies::Redirect(directory) => {
                directory.observe(&sync.ip, now);
                respond(TallySynced::without_disk());
            }
        }
    }
}
