//! Decides when a started replica has caught up and may serve requests.

use kernel::{clock, log_event};
use tally::TallyRecord;

use super::TallyReplica;
use crate::event::TALLIES_CAUGHT_UP;

/// Minimum time for which a started replica waits for other replicas, in ms: two heartbeats.
const MIN_CATCH_UP_MS: u64 = 700;

impl TallyReplica {
    /// Checks whether this replica has caught up with the others since its start.
    pub fn update_caught_up(&self) {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.replicas.observe_time(now);
        let has_waited = now >= state.started_at + MIN_CATCH_UP_MS;
        if state.caught_up || !has_waited || !state.replicas.has_caught_up(state.needs_informed_peer, now) {
            return;
        }
        state.caught_up = true;
        if state.needs_informed_peer {
            state.log.replay(TallyRecord::CaughtUp);
            self.write(&mut state, vec![TallyRecord::CaughtUp], |_| {});
        }
        let (known, in_reach) = state.replicas.counts(now);
        log_event!(TALLIES_CAUGHT_UP, "entries" => state.log.entry_count(), "known" => known, "in_reach" => in_reach,
            "took_ms" => now - state.started_at);
    }
}
