//! Estimates request durations per route, so that a router that is shutting down can refuse requests that would not
//! finish in time.

use std::sync::atomic::{AtomicU64, Ordering};

/// Smoothing factor for durations above the estimate. Together with `STEP_DOWN`, the estimate converges to the 0.95
/// expectile and follows a slow period within a few requests.
const STEP_UP: f64 = 0.25;
/// Smoothing factor for durations below the estimate.
const STEP_DOWN: f64 = 0.0125;

/// A duration in milliseconds that few requests exceed, stored as the bits of an `f64`; 0 before the first request.
#[derive(Debug, Default)]
pub struct DurationEstimate(AtomicU64);

impl DurationEstimate {
    /// Records the duration of a request that finished or was abandoned, in milliseconds.
    pub fn record(&self, duration_ms: u64) {
        let estimate_ms = self.estimate_ms();
        let distance = duration_ms as f64 - estimate_ms;
        let step = if distance > 0.0 { STEP_UP } else { STEP_DOWN };
        self.0.store((estimate_ms + distance * step).to_bits(), Ordering::Relaxed);
    }

    /// Returns the expected duration of the next request, in milliseconds.
    pub fn expected_ms(&self) -> u64 {
        self.estimate_ms() as u64
    }

    fn estimate_ms(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
#[path = "duration_estimate_tests.rs"]
mod tests;
