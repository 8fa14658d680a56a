//! Estimates the duration of a stream from its maximum number of output tokens.

use parking_lot::Mutex;

/// Smoothing factor for times above an estimate. Together with `STEP_DOWN`, the estimate converges to the 0.8
/// expectile.
const STEP_UP: f64 = 0.1;
/// Smoothing factor for times below an estimate.
const STEP_DOWN: f64 = 0.025;
/// Margin added to each estimate for the time that a request takes to arrive and its response to leave, in
/// milliseconds.
const MARGIN_MS: f64 = 150.0;

/// Measured times of one stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimes {
    /// Time until the head of its response, in milliseconds.
    pub head_ms: u64,
    /// Time from the head to the end of the body, in milliseconds.
    pub body_ms: u64,
    /// Maximum number of its output tokens.
    pub max_output_tokens: u32,
}

/// Estimated times in milliseconds, until the head and per output token; `None` before the first stream.
#[derive(Clone, Copy, Debug, Default)]
struct Estimates {
    head_ms: Option<f64>,
    token_ms: Option<f64>,
}

/// The duration estimate of one route.
#[derive(Debug, Default)]
pub struct StreamDuration(Mutex<Estimates>);

impl StreamDuration {
    /// Records the times of a completed stream.
    pub fn record(&self, times: StreamTimes) {
        let mut estimates = self.0.lock();
        let token_ms = times.body_ms as f64 / f64::from(times.max_output_tokens.max(1));
        estimates.head_ms = Some(next_estimate(estimates.head_ms, times.head_ms as f64));
        estimates.token_ms = Some(next_estimate(estimates.token_ms, token_ms));
    }

    /// Returns the expected duration of a stream of at most `max_output_tokens`, in milliseconds; `None` before the
    /// first stream.
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
