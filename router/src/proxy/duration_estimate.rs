//! Estimates how long requests of a route take, so that a router that shuts down knows which still fit into the time
//! it has left.

use std::sync::atomic::{AtomicU64, Ordering};

/// Fraction of the distance to a longer duration by which the estimate rises. With `STEP_DOWN` it converges to the 0.95
/// expectile, and follows a slow period within some requests.
const STEP_UP: f64 = 0.25;
/// Fraction of the distance to a shorter duration by which the estimate falls.
const STEP_DOWN: f64 = 0.0125;

/// An estimate in milliseconds that few requests exceed; 0 before the first.
#[derive(Debug, Default)]
pub struct DurationEstimate(AtomicU64);

impl DurationEstimate {
    /// Records how long a request took, or after how long it was given up, in milliseconds.
    pub fn record(&self, duration_ms: u64) {
        let estimate_ms = self.estimate_ms();
        let distance = duration_ms as f64 - estimate_ms;
        let step = if distance > 0.0 { STEP_UP } else { STEP_DOWN };
        self.0.store((estimate_ms + distance * step).to_bits(), Ordering::Relaxed);
    }

    /// Returns how long another request is expected to take, in milliseconds.
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
