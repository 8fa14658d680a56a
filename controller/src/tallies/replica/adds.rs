//! Adds, and how long they wait until enough disks have them.

use std::time::Duration;

use kernel::clock;
use protocol::tally::{TallyBatch, TallyEntry};
use tally::{Dot, TallyRecord, REACH_MS};
use tokio::time;

use super::TallyReplica;

/// How long an add may wait for its acknowledgement, in milliseconds: below a second, after which callers give up, and longer than
/// a replica stays in reach that has just become silent.
const ADD_TIMEOUT_MS: u64 = REACH_MS + 70;
/// How often an add that waits looks whether a replica has gone out of reach meanwhile.
const REACH_POLL: Duration = Duration::from_millis(20);

/// Why an add was not taken: nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica was started lately and may lack what others have.
    CatchingUp,
    /// The disk has not written anything for a while.
    DiskStalled,
    /// There are as many keys as this machine bears.
    Full,
}

/// What became of an add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddOutcome {
    /// It counts, and outlives every loss that is to be borne.
    Acknowledged,
    /// Nothing was done.
    Refused(Refusal),
    /// It is in the log here, and may come to count: too few disks have confirmed it in time.
    Unconfirmed,
}

impl TallyReplica {
    /// Adds to a tally, once for each key, and waits until that may be acknowledged.
    ///
    /// Cancel safe in the sense of a lost answer: the entry may count.
    pub async fn add(&self, entry: TallyEntry) -> AddOutcome {
        let dot = match self.begin_add(entry) {
            Ok(dot) => dot,
            Err(refusal) => return AddOutcome::Refused(refusal),
        };
        let is_durable = async {
            loop {
                let progress = self.0.progress.notified();
                if self.is_durable(dot) {
                    return;
                }
                let _ = time::timeout(REACH_POLL, progress).await;
            }
        };
        match time::timeout(Duration::from_millis(ADD_TIMEOUT_MS), is_durable).await {
            Ok(()) => AddOutcome::Acknowledged,
            Err(_) => AddOutcome::Unconfirmed,
        }
    }

    fn is_durable(&self, dot: Dot) -> bool {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.replicas.observe_time(now);
        state.replicas.is_durable(dot, now)
    }

    /// Puts an entry into the log unless its key is there, and returns its place.
    pub(super) fn begin_add(&self, entry: TallyEntry) -> Result<Dot, Refusal> {
        let now = clock::now();
        let mut state = self.0.state.lock();
        if !state.caught_up {
            return Err(Refusal::CatchingUp);
        }
        if let Some(dot) = state.log.find(&entry.tally, &entry.instance_id) {
            return Ok(dot);
        }
        if state.is_disk_stalled(now) {
            return Err(Refusal::DiskStalled);
        }
        if !self.0.has_room(&mut state) {
            return Err(Refusal::Full);
        }
        let dot = state.log.append(entry.clone());
        let batch = TallyBatch { origin: dot.origin, start: dot.sequence, entries: vec![entry] };
        self.write(&mut state, vec![TallyRecord::Batch(batch)], |_| {});
        Ok(dot)
    }
}
