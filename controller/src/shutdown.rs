//! The end of a controller: what it accepted is finished, and nothing new is accepted.

use std::future::Future;
use std::time::Duration;

use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The work that a controller finishes before it ends: operators' requests and jobs of batches.
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

    /// Returns whether nothing new is accepted any more.
    pub fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// Waits until nothing new is accepted any more.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Accepts nothing new and waits for what is under way. Returns false if something is not finished at the end.
    pub async fn run(&self, end: Instant) -> bool {
        self.closing.cancel();
        self.work.close();
        time::timeout_at(end, self.work.wait()).await.is_ok()
    }
}

/// How much of the grace is reserved for the end of the process itself.
const RESERVE_MS: u64 = 300;

/// Returns when a process that gets SIGTERM now must have finished.
pub fn last_moment(grace_s: f64) -> Instant {
    let grace = Duration::from_secs_f64(grace_s);
    Instant::now() + grace.saturating_sub(Duration::from_millis(RESERVE_MS))
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
