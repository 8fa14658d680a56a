//! Detects pauses of the whole process, as when it is stopped and continued or its machine is suspended. Requests that
//! waited in its sockets meanwhile may be as old as the pause.

use std::sync::Arc;

use kernel::startup;

use crate::controller::Controller;

/// The shortest gap between ticks that counts as a pause, in milliseconds. After it, the sender of a request that
/// waited in a socket may have given up.
const MIN_PAUSE_MS: u64 = 1000;
/// How long requests count as stale after the process resumes, in milliseconds.
const STALE_AFTER_PAUSE_MS: u64 = 500;

/// The interval between ticks, in milliseconds.
const TICK_MS: u64 = 250;

/// Starts the task that records ticks. It does nothing else, so that no other work can delay the ticks.
pub fn start(controller: &Arc<Controller>) {
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut ticks = startup::interval(TICK_MS);
        loop {
            ticks.tick().await;
            controller.peers.record_tick();
        }
    });
}

/// Detects pauses from gaps between ticks, in milliseconds of the steady clock. Invariant: `resumed` is the time of the
/// first tick after the last pause.
#[derive(Debug, Default)]
pub struct PauseMonitor {
    last_tick: u64,
    resumed: Option<u64>,
}

impl PauseMonitor {
    /// Records that the process is running. To be called at intervals well below `MIN_PAUSE_MS`.
    pub fn record_tick(&mut self, now: u64) {
        if self.is_paused(now) {
            self.resumed = Some(now);
        }
        self.last_tick = now;
    }

    /// Returns whether a request that is read now may have been sent before a pause.
    pub fn requests_may_be_stale(&self, now: u64) -> bool {
        self.is_paused(now) || self.resumed.is_some_and(|resumed| now < resumed + STALE_AFTER_PAUSE_MS)
    }

    fn is_paused(&self, now: u64) -> bool {
        now > self.last_tick + MIN_PAUSE_MS
    }
}

#[cfg(test)]
#[path = "pause_tests.rs"]
mod tests;
