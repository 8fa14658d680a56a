//! Estimates how long a stream takes by the tokens that it puts out at most.

use parking_lot::Mutex;

/// Fraction of the distance to a longer time by which an estimate rises. With `STEP_DOWN` it converges to the 0.8 expectile.
const STEP_UP: f64 = 0.1;
/// Fraction of the distance to a shorter time by which an estimate falls.
const STEP_DOWN: f64 = 0.025;
/// What is added to each estimate: requests also need time to arrive and to leave, in milliseconds.
const MARGIN_MS: f64 = 150.0;

/// How long one stream took.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimes {
    /// Until the head of its response, in milliseconds.
    pub head_ms: u64,
    /// From then on, in milliseconds.
    pub body_ms: u64,
    /// The most tokens that it was to put out.
    pub max_output_tokens: u32,
}

/// The estimates; `None` before the first stream.
#[derive(Clone, Copy, Debug, Default)]
struct Estimates {
    head_ms: Option<f64>,
    token_ms: Option<f64>,
}

/// The estimate of one route.
#[derive(Debug, Default)]
pub struct StreamDuration(Mutex<Estimates>);

impl StreamDuration {
    /// Records a stream that is complete.
    pub fn record(&self, times: StreamTimes) {
        let mut estimates = self.0.lock();
        let token_ms = times.body_ms as f64 / f64::from(times.max_output_tokens.max(1));
        estimates.head_ms = Some(next_estimate(estimates.head_ms, times.head_ms as f64));
        estimates.token_ms = Some(next_estimate(estimates.token_ms, token_ms));
    }

    /// Returns how long a stream of so many tokens at most is expected to take, in milliseconds. `None`: nothing was recorded.
    pub fn expected_ms(&self, max_output_tokens: u32) -> Option<u64> {
        let Estimates { head_ms, token_ms } = *self.0.lock();
        Some((head_ms? + token_ms? * f64::from(max_output_tokens) + MARGIN_MS) as u64)
    }
}

fn next_estimate(estimate: Option<f64>, value: f64) -> f64 {
    let Some(estimate) = estimate else { return value };
    let distance = value - estimate;
    let step = if distance > 0.0 { STEP_UP } else { STEP_DOWN };
    estimate + distance * step
}

#[cfg(test)]
#[path = "stream_duration_tests.rs"]
mod tests;
