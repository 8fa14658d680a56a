//! How many jobs an owner may have in flight: additive increase, multiplicative decrease.

/// How many jobs may be under way: one more for each that found room, fewer by a quarter after one that
/// was turned away; above what was left then, one more for each round only.
/// Invariant: 1 <= `limit` <= `max`.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    slow_start_threshold: f64,
    max: f64,
    pub paused_until: u64,
}

/// How long nothing is sent after a refusal, unless the refusal says longer.
const MIN_PAUSE_MS: u64 = 300;
/// What is left of the limit after a refusal: enough to stand back, not to start anew.
const DECREASE_FACTOR: f64 = 0.75;

impl ConcurrencyLimit {
    pub fn new(max: usize) -> ConcurrencyLimit {
        ConcurrencyLimit { limit: 2.0, slow_start_threshold: max as f64, max: max.max(1) as f64, paused_until: 0 }
    }

    pub fn available(&self, in_flight: usize, now: u64) -> usize {
        if now < self.paused_until {
            return 0;
        }
        (self.limit as usize).saturating_sub(in_flight)
    }

    pub fn on_success(&mut self) {
        let step = if self.limit < self.slow_start_threshold { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(self.max);
    }

    pub fn on_rejection(&mut self, retry_after_ms: Option<u64>, now: u64) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        self.slow_start_threshold = self.limit;
        self.paused_until = self.paused_until.max(now + retry_after_ms.unwrap_or(MIN_PAUSE_MS).max(MIN_PAUSE_MS));
    }
}

#[cfg(test)]
#[path = "concurrency_limit_tests.rs"]
mod tests;
