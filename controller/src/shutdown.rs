//! The end of a controller: what it took is finished, and nothing new is taken.

use std::future::Future;
use std::time::Duration;

use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The work that a controller finishes before it ends: operators' calls and jobs of batches.
#[derive(Default)]
pub struct Shutdown {
    closing: CancellationToken,
    work: TaskTracker,
}

impl Shutdown {
    /// Starts work that is to be finished before the process ends.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.work.spawn(work);
    }

    /// Is nothing new taken any more?
    pub fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// Until nothing new is taken any more.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Takes nothing new and waits for what is under way; false if something is not finished at the end.
    pub async fn run(&self, end: Instant) -> bool {
        self.closing.cancel();
        self.work.close();
        time::timeout_at(end, self.work.wait()).await.is_ok()
    }
}

/// What of the grace is kept for the end of the process itself.
const RESERVE_MS: u64 = 300;

/// When a process that was told to end now must have finished.
pub fn last_moment(grace_s: f64) -> Instant {
    let grace = Duration::from_secs_f64(grace_s);
    Instant::now() + grace.saturating_sub(Duration::from_millis(RESERVE_MS))
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
