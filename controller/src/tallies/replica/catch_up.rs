//! When a replica that was started answers.

use kernel::{clock, log_event};
use tally::TallyRecord;

use super::TallyReplica;
use crate::event::TALLIES_CAUGHT_UP;

/// A replica that was started listens for the others for so long at least, in milliseconds: two heartbeats.
const MIN_CATCH_UP_MS: u64 = 700;

impl TallyReplica {
    /// Looks whether a replica that was started has caught up with the others.
    pub fn update_caught_up(&self) {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.replicas.observe_time(now);
        let has_listened = now >= state.started_at + MIN_CATCH_UP_MS;
        if state.caught_up || !has_listened || !state.replicas.has_caught_up(state.needs_informed, now) {
            return;
        }
        state.caught_up = true;
        if state.needs_informed {
            state.log.replay(TallyRecord::CaughtUp);
            self.write(&mut state, vec![TallyRecord::CaughtUp], |_| {});
        }
        let (known, in_reach) = state.replicas.counts(now);
        log_event!(TALLIES_CAUGHT_UP, "entries" => state.log.entry_count(), "known" => known, "in_reach" => in_reach,
            "took_ms" => now - state.started_at);
    }
}
