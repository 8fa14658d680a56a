//! Graceful shutdown: accepted work is finished, and no new work is accepted.

use std::future::Future;
use std::time::Duration;

use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Tracks the work that a controller finishes before it exits: operator requests and batch jobs.
#[derive(Default)]
pub struct Shutdown {
    closing: CancellationToken,
    work: TaskTracker,
}

impl Shutdown {
    /// Spawns work that must finish before the process exits.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.work.spawn(work);
    }

    /// Runs work that must finish before the process exits.
    pub async fn track(&self, work: impl Future<Output = ()>) {
        self.work.track_future(work).await;
    }

    /// Returns whether new work is rejected.
    pub fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// Waits until new work is rejected.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Refuses new work and waits for the work in progress. Returns `false` if some of it is unfinished at `deadline`.
    pub async fn run(&self, deadline: Instant) -> bool {
        self.closing.cancel();
        self.work.close();
        time::timeout_at(deadline, self.work.wait()).await.is_ok()
    }
}

/// The part of the shutdown grace period that is reserved for the exit of the process itself, in milliseconds.
const EXIT_RESERVE_MS: u64 = 300;

/// Returns the time by which a process that receives SIGTERM now must have finished its work.
pub fn shutdown_deadline(grace_s: f64) -> Instant {
    let grace = Duration::from_secs_f64(grace_s);
    Instant::now() + grace.saturating_sub(Duration::from_millis(EXIT_RESERVE_MS))
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
