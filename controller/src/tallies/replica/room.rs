//! The capacity of a replica, and the sealing of entries, which reduces their size.

use kernel::{clock, log_event};
use tally::{EntryCounts, TallyRecord};

use super::{Inner, State, TallyReplica};
use crate::event::{TALLIES_FILLING, TALLIES_FULL};

/// The share of the capacity from which operators are warned.
const WARNING_SHARE: f64 = 0.8;
/// The share of its capacity up to which a replica takes entries that others have accepted. Their capacity may be
/// larger than this machine's.
const MAX_REMOTE_SHARE: f64 = 1.2;

/// The maximum number of chunks sealed at once. Other work of the process is blocked meanwhile.
const MAX_CHUNKS_PER_SEAL: usize = 16;

/// The fill level of a replica, as last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fill {
    /// Below the warning threshold.
    Normal,
    /// At or above the warning threshold.
    NearlyFull,
    /// At or above the capacity: new keys are rejected.
    Full,
}

/// The usage of a replica, and the replicas that it knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TallyUsage {
    /// The numbers of entries and tallies.
    pub counts: EntryCounts,
    /// The used share of this machine's capacity; from 1 on, new keys are rejected.
    pub used_share: f64,
    /// The number of other known replicas.
    pub known: usize,
    /// The number of known replicas that responded within the last 0.85 s.
    pub in_reach: usize,
}

impl Inner {
    pub(super) fn used_share(&self, state: &State) -> f64 {
        self.capacity.used_share(state.log.counts())
    }

    /// Returns whether there is room for a new key, and logs an event if the fill level has risen.
    pub(super) fn has_room(&self, state: &mut State) -> bool {
        let share = self.used_share(state);
        let fill = match share {
            share if share >= 1.0 => Fill::Full,
            share if share >= WARNING_SHARE => Fill::NearlyFull,
            _ => Fill::Normal,
        };
        if fill > state.reported_fill {
            let event = if fill == Fill::Full { TALLIES_FULL } else { TALLIES_FILLING };
            log_event!(event, "entries" => state.log.entry_count(), "used_percent" => (share * 100.0) as u64);
        }
        state.reported_fill = fill;
        fill != Fill::Full
    }

    /// Returns whether there is room for entries that another replica has accepted.
    pub(super) fn has_room_for_remote(&self, state: &State) -> bool {
        self.used_share(state) < MAX_REMOTE_SHARE
    }
}

impl TallyReplica {
    /// Returns the current usage.
    pub fn usage(&self) -> TallyUsage {
        let state = self.0.state.lock();
        let (known, in_reach) = state.replicas.counts(clock::now());
        TallyUsage { counts: state.log.counts(), used_share: self.0.used_share(&state), known, in_reach }
    }

    /// Seals entries that are on disk, unless a replica that does not support packed entries is known or was known
    /// recently.
    pub fn seal(&self, has_older_replica: bool) {
        self.seal_at(has_older_replica, clock::now());
    }

    pub(super) fn seal_at(&self, has_older_replica: bool, now: u64) {
        let mut state = self.0.state.lock();
        state.packing.observe(has_older_replica, now);
        if !state.packing.is_open(now) || state.is_disk_stalled(now) {
            return;
        }
        let durable = state.replicas.own_durable().clone();
        let sealed: Vec<TallyRecord> =
            state.log.seal(&durable, MAX_CHUNKS_PER_SEAL).into_iter().map(TallyRecord::Sealed).collect();
        if !sealed.is_empty() {
            self.write(&mut state, sealed, |_| {});
        }
    }
}
