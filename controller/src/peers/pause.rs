//! Notices that the whole process stood still, as when it is frozen and thawed or its machine sleeps. What
//! waited in its sockets meanwhile is as old as the pause.

use std::sync::Arc;

use kernel::startup;

use crate::controller::Controller;

/// After a pause from this length on, a request in a socket may long have been given up by its sender.
const PAUSE_MS: u64 = 1000;
/// For so long after the process goes on, requests count as stale.
const STALE_AFTER_PAUSE_MS: u64 = 500;

const TICK_MS: u64 = 250;

/// Records ticks in a task of its own: one that also does other work would stall with it.
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

/// Times of the steady clock. Invariant: `resumed` is the time of the first tick after the last pause.
#[derive(Debug, Default)]
pub struct PauseMonitor {
    last_tick: u64,
    resumed: Option<u64>,
}

impl PauseMonitor {
    /// Records that the process runs. To be called more often than `PAUSE_MS`.
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
        now > self.last_tick + PAUSE_MS
    }
}

#[cfg(test)]
#[path = "pause_tests.rs"]
mod tests;
