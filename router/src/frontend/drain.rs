//! Graceful shutdown: how a router stops without aborting requests that it accepted.
//!
//! On SIGTERM the router fails its readiness checks at once. Until the platform has noticed, it keeps accepting
//! requests (`Draining`), except those that it does not expect to finish in time. Then it accepts nothing new, finishes
//! the requests in flight (`Closing`), and exits. The platform may keep sending to a router that is not ready, so the
//! end of `Draining` depends on elapsed time alone, not on whether requests still arrive.
//!
//! Invariant: the phase never goes back.

use std::future::Future;
use std::sync::OnceLock;
use std::time::Duration;

use tokio::time::{self, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// The phase of a graceful shutdown. The variant names are metric label values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, prometheus_client::encoding::EncodeLabelValue)]
pub enum DrainPhase {
    /// Normal operation.
    Serving,
    /// The router fails readiness checks, but still accepts requests.
    Draining,
    /// The router accepts nothing new and finishes the requests in flight.
    Closing,
}

/// The state of a graceful shutdown, and the client connections that it waits for.
#[derive(Default)]
pub struct Drain {
    /// Cancelled when the shutdown starts.
    draining: CancellationToken,
    /// Cancelled when the router stops accepting connections and requests.
    closing: CancellationToken,
    connections: TaskTracker,
    /// When the requests in flight must be finished; set when the shutdown starts.
    deadline: OnceLock<Instant>,
}

impl Drain {
    /// Returns the current phase.
    pub fn phase(&self) -> DrainPhase {
        match (self.draining.is_cancelled(), self.closing.is_cancelled()) {
            (_, true) => DrainPhase::Closing,
            (true, false) => DrainPhase::Draining,
            (false, false) => DrainPhase::Serving,
        }
    }

    /// Returns the time left until the shutdown deadline, in milliseconds; `None` if no shutdown has started.
    pub fn remaining_ms(&self) -> Option<u64> {
        let deadline = self.deadline.get()?;
        Some(deadline.saturating_duration_since(Instant::now()).as_millis() as u64)
    }

    /// Waits until the router stops accepting connections and requests.
    pub async fn wait_for_closing(&self) {
        self.closing.cancelled().await;
    }

    /// Runs a client connection to its end; a shutdown waits for it.
    pub async fn track_connection(&self, connection: impl Future<Output = ()>) {
        self.connections.track_future(connection).await;
    }

    /// Runs the shutdown through all phases. Returns once every connection has ended or the deadline has passed.
    pub async fn run(&self, schedule: &DrainSchedule) {
        let deadline = Instant::now() + schedule.finish_within;
        let _ = self.deadline.set(deadline);
        self.draining.cancel();
        time::sleep(schedule.accept_for).await;
        self.closing.cancel();
        self.connections.close();
        let _ = time::timeout_at(deadline, self.connections.wait()).await;
    }
}

/// The schedule of a graceful shutdown within the termination grace period. Durations count from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// How long new requests are still accepted.
    pub accept_for: Duration,
    /// How long requests in flight may take before they are aborted.
    pub finish_within: Duration,
}

/// Time until the platform stops sending to an unready router, in milliseconds: it polls once a second and removes a
/// router after two failures, and requests that it has already forwarded take a moment longer to arrive.
const UNREADY_DETECTION_MS: u64 = 3000;
/// Maximum share of the grace period in which requests are accepted, so that most of it is left to finish the last
/// ones: three of eight seconds.
const MAX_ACCEPT_SHARE: f64 = 3.0 / 8.0;
/// Share of the grace period that is reserved for process exit.
const RESERVE_SHARE: f64 = 1.0 / 24.0;
/// Maximum time reserved for process exit, in milliseconds.
const MAX_RESERVE_MS: u64 = 300;

impl DrainSchedule {
    /// Returns the schedule for a grace period in seconds.
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
