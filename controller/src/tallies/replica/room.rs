//! How much a replica keeps, and when it takes no more.

use kernel::{clock, log_event};
use tally::{EntryCounts, TallyRecord};

use super::{Inner, State, TallyReplica};
use crate::event::{TALLIES_FILLING, TALLIES_FULL};

/// From this part of the capacity on operators are warned.
const FILLING_SHARE: f64 = 0.8;
/// Up to this part of the own capacity a replica takes what others have accepted: they may bear more than this machine.
const FOREIGN_SHARE: f64 = 1.2;

/// How many chunks are sealed at once: the process serves nothing else meanwhile.
const MAX_CHUNKS: usize = 16;

/// How full a replica is, as it was last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fill {
    /// Nothing to tell.
    Roomy,
    /// Nearly full.
    Filling,
    /// New keys are refused.
    Full,
}

/// How much a replica has and knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TallyUsage {
    /// Entries and tallies.
    pub counts: EntryCounts,
    /// The part of what this machine bears: 1 where there is no room for new keys.
    pub used_share: f64,
    /// Other replicas.
    pub known: usize,
    /// Those of them that answered within the last 0.85 s.
    pub in_reach: usize,
}

impl Inner {
    pub(super) fn used_share(&self, state: &State) -> f64 {
        self.capacity.used_share(state.log.counts())
    }

    /// Returns whether there is room for a new key, and reports it where that changed.
    pub(super) fn has_room(&self, state: &mut State) -> bool {
        let share = self.used_share(state);
        let fill = match share {
            full if full >= 1.0 => Fill::Full,
            filling if filling >= FILLING_SHARE => Fill::Filling,
            _ => Fill::Roomy,
        };
        if fill > state.reported_fill {
            let event = if fill == Fill::Full { TALLIES_FULL } else { TALLIES_FILLING };
            log_event!(event, "entries" => state.log.entry_count(), "used_percent" => (share * 100.0) as u64);
        }
        state.reported_fill = fill;
        fill != Fill::Full
    }

    /// Returns whether there is room for what another replica accepted.
    pub(super) fn has_foreign_room(&self, state: &State) -> bool {
        self.used_share(state) < FOREIGN_SHARE
    }
}

impl TallyReplica {
    /// Returns how much there is.
    pub fn usage(&self) -> TallyUsage {
        let state = self.0.state.lock();
        let (known, in_reach) = state.replicas.counts(clock::now());
        TallyUsage { counts: state.log.counts(), used_share: self.0.used_share(&state), known, in_reach }
    }

    /// Seals entries that are on disk, unless a replica is known, or was known lately, that reads keys as text only.
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
            state.log.seal(&durable, MAX_CHUNKS).into_iter().map(TallyRecord::Sealed).collect();
        if !sealed.is_empty() {
            self.write(&mut state, sealed, |_| {});
        }
    }
}
