//! How many jobs an owner may have in flight: slow start, then additive increase and multiplicative decrease, as TCP
//! does.

/// The limit on jobs in flight.
///
/// Below the slow start threshold it grows by one with each success, above it by one with each round of `limit`
/// successes. A rejection lowers it by a quarter and sets the threshold to the new limit. Invariant: 1 <= `limit` <=
/// `max`.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    slow_start_threshold: f64,
    max: f64,
    /// Steady time until which nothing is sent, in milliseconds.
    paused_until: u64,
}

/// Minimum pause after a rejection, in milliseconds; the response may ask for a longer one.
const MIN_PAUSE_MS: u64 = 300;
/// Share of the limit that remains after a rejection.
const DECREASE_FACTOR: f64 = 0.75;

impl ConcurrencyLimit {
    /// Returns a limit that starts at two jobs and never exceeds `max`.
    pub fn new(max: usize) -> ConcurrencyLimit {
        ConcurrencyLimit { limit: 2.0, slow_start_threshold: max as f64, max: max.max(1) as f64, paused_until: 0 }
    }

    /// Returns how many more jobs may be sent at the steady time `now`, in milliseconds.
    pub fn available(&self, in_flight: usize, now: u64) -> usize {
        if now < self.paused_until {
            return 0;
        }
        (self.limit as usize).saturating_sub(in_flight)
    }

    /// Raises the limit after a job was executed.
    pub fn on_success(&mut self) {
        let step = if self.limit < self.slow_start_threshold { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(self.max);
    }

    /// Lowers the limit and pauses after a job was rejected because no engine had capacity.
    pub fn on_rejection(&mut self, retry_after_ms: Option<u64>, now: u64) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        self.slow_start_threshold = self.limit;
        self.paused_until = self.paused_until.max(now + retry_after_ms.unwrap_or(MIN_PAUSE_MS).max(MIN_PAUSE_MS));
    }
}

#[cfg(test)]
#[path = "concurrency_limit_tests.rs"]
mod tests;
