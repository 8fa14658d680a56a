//! How a router ends without giving anything up that it took.
//!
//! It turns unready at once and serves on while the platform may not have noticed (`Draining`), but refuses what it does
//! not expect to finish. Then it takes nothing new, finishes what is under way (`Closing`), and ends. The platform may go on sending to a router that is not ready, so the
//! end of the first part never depends on how much comes.
//!
//! Invariant: the phase only goes forward.

use std::future::Future;
use std::sync::OnceLock;
use std::time::Duration;

use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// How far a router is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prometheus_client::encoding::EncodeLabelValue)]
pub enum DrainPhase {
    /// It is not about to end.
    Serving,
    /// It is about to end: unready, but it takes requests.
    Draining,
    /// It takes nothing new and finishes what it has.
    Closing,
}

/// The phases of a router, and the connections of its clients.
#[derive(Default)]
pub struct Drain {
    draining: CancellationToken,
    closing: CancellationToken,
    connections: TaskTracker,
    /// When everything must be finished, once that is known.
    deadline: OnceLock<Instant>,
}

impl Drain {
    /// The phase of now.
    pub fn phase(&self) -> DrainPhase {
        match (self.draining.is_cancelled(), self.closing.is_cancelled()) {
            (_, true) => DrainPhase::Closing,
            (true, false) => DrainPhase::Draining,
            (false, false) => DrainPhase::Serving,
        }
    }

    /// How long what is taken now may take; None: as long as it likes.
    pub fn remaining_ms(&self) -> Option<u64> {
        let end = self.deadline.get()?;
        Some(end.saturating_duration_since(Instant::now()).as_millis() as u64)
    }

    /// Until nothing new is taken any more.
    pub async fn wait_for_closing(&self) {
        self.closing.cancelled().await;
    }

    /// Follows a client's connection to its end.
    pub async fn track_connection(&self, connection: impl Future<Output = ()>) {
        self.connections.track_future(connection).await;
    }

    /// Goes through all phases; over once every connection has ended, or the time to finish is.
    pub async fn run(&self, schedule: &DrainSchedule) {
        let end = Instant::now() + schedule.finish_within;
        let _ = self.deadline.set(end);
        self.draining.cancel();
        time::sleep(schedule.accept_for).await;
        self.closing.cancel();
        self.connections.close();
        let _ = time::timeout_at(end, self.connections.wait()).await;
    }
}

/// What a grace is divided into, from the moment at which the process is told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// For so long requests are taken.
    pub accept_for: Duration,
    /// By then what was taken is finished or given up.
    pub finish_within: Duration,
}

/// The platform asks for readiness once a second and takes a router out that misses twice; what it passed on by then
/// is on its way for a moment more.
const UNREADY_DETECTION_MS: u64 = 3000;
/// At most this part of the grace goes to being noticed, so that most is left for what was taken last.
const MAX_ACCEPT_SHARE: f64 = 0.4;
/// What is kept for the end of the process itself: a share of the grace, and no more than this.
const RESERVE_SHARE: f64 = 1.0 / 24.0;
const MAX_RESERVE_MS: u64 = 300;

impl DrainSchedule {
    /// The division of a grace in seconds.
    pub fn for_grace(grace_s: f64) -> DrainSchedule {
        let grace_ms = grace_s * 1000.0;
        let accept_ms = UNREADY_DETECTION_MS.min((grace_ms * MAX_ACCEPT_SHARE) as u64);
        let reserve_ms = MAX_RESERVE_MS.min((grace_ms * RESERVE_SHARE) as u64);
        DrainSchedule {
            accept_for: Duration::from_millis(accept_ms),
            finish_within: Duration::from_millis((grace_ms as u64).saturating_sub(reserve_ms)),
        }
    }
}

#[cfg(test)]
#[path = "drain_tests.rs"]
mod tests;
