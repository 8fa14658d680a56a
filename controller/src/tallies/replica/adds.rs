//! Adds entries and waits until enough disks have them.

use std::time::Duration;

use kernel::clock;
use protocol::tally::{TallyBatch, TallyEntry};
use tally::{Dot, TallyRecord, REACH_MS};
use tokio::time;

use super::TallyReplica;

/// Timeout of an add, in ms: less than the second after which callers give up, and longer than a replica that has just
/// become silent counts as reachable.
const ADD_TIMEOUT_MS: u64 = REACH_MS + 70;
/// Interval at which a waiting add checks whether a replica has become unreachable.
const REACH_POLL: Duration = Duration::from_millis(20);

/// Why an add was rejected. The entry was not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica was started recently and may lack entries of other replicas.
    CatchingUp,
    /// The disk has made no progress for `DISK_STALL_MS`.
    DiskStalled,
    /// The capacity of this machine is exhausted.
    Full,
    /// Too few other replicas respond, and they are not behind a network partition. If this machine lost its disk before
    /// they are back, the entry would be lost.
    TooFewReplicas,
}

/// The outcome of an add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddOutcome {
    /// The entry counts, and it survives every loss within the configured fault tolerance.
    Acknowledged,
    /// The entry was not added.
    Refused(Refusal),
    /// The entry is in the local log and may still count, but too few disks have confirmed it in time.
    Unconfirmed,
}

impl TallyReplica {
    /// Adds an entry to a tally, at most once per key, and waits until it may be acknowledged.
    ///
    /// Cancelling it is equivalent to losing the response: the entry may count.
    pub async fn add(&self, entry: TallyEntry) -> AddOutcome {
        let dot = match self.begin_add(entry) {
            Ok(dot) => dot,
            Err(refusal) => return AddOutcome::Refused(refusal),
        };
        let until_durable = async {
            loop {
                let progress = self.0.progress.notified();
                if self.is_durable(dot) {
                    return;
                }
                let _ = time::timeout(REACH_POLL, progress).await;
            }
        };
        match time::timeout(Duration::from_millis(ADD_TIMEOUT_MS), until_durable).await {
            Ok(()) => AddOutcome::Acknowledged,
            Err(_) => AddOutcome::Unconfirmed,
        }
    }

    fn is_durable(&self, dot: Dot) -> bool {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.replicas.observe_time(now);
        state.report_redundancy(now);
        state.replicas.is_durable(dot, now)
    }

    /// Appends an entry to the log unless its key is present, and returns the position of the entry.
    pub(super) fn begin_add(&self, entry: TallyEntry) -> Result<Dot, Refusal> {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.added_at = Some(now);
        if !state.caught_up {
            return Err(Refusal::CatchingUp);
        }
        if let Some(dot) = state.log.find(&entry.tally, &entry.instance_id) {
            return Ok(dot);
        }
        state.replicas.observe_time(now);
        state.report_redundancy(now);
        if state.replicas.lacks_replicas(now) {
            return Err(Refusal::TooFewReplicas);
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
