//! How long requests of a route take, for one that must know whether another still fits into the time it has left.

use std::sync::atomic::{AtomicU64, Ordering};

/// The estimate moves this part of the way to a longer time, and this part of the way to a shorter one: it settles where
/// few requests take longer (the 0.95 expectile), and follows a slow spell within some requests.
const STEP_UP: f64 = 0.25;
const STEP_DOWN: f64 = 0.0125;

/// An estimate in milliseconds that all but few requests keep; 0 before the first.
#[derive(Debug, Default)]
pub struct DurationEstimate(AtomicU64);

impl DurationEstimate {
    /// A request took so long, or was given up after so long.
    pub fn record(&self, duration_ms: u64) {
        let estimate_ms = self.estimate_ms();
        let distance = duration_ms as f64 - estimate_ms;
        let step = if distance > 0.0 { STEP_UP } else { STEP_DOWN };
        self.0.store((estimate_ms + distance * step).to_bits(), Ordering::Relaxed);
    }

    /// How long another one is expected to take.
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
