//! The evidence of one route that a candidate fails more often than the stable version.
//!
//! It is a one-sided CUSUM (Page's test) of the log likelihood ratio between two failure rates: the stable version's with an
//! allowance, and one that is clearly worse. It finds a version that is faulty from its start as fast as a sequential test
//! would, and one that becomes faulty later as fast, since earlier successes do not count in its favour.

use crate::SampleBatch;

/// Excess over the stable version's failure rate that a candidate may have.
const ALLOWED_EXCESS: f64 = 0.02;
/// Further excess, over the allowed rate, that is clearly worse.
const ALARM_EXCESS: f64 = 0.2;
/// Lowest failure rate that the stable version is assumed to have.
const MIN_FAILURE_RATE: f64 = 0.005;
/// Highest failure rate that the stable version is assumed to have.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Weight, in samples, of `MIN_FAILURE_RATE` as prior: with few samples the measured rate says little.
const PRIOR_SAMPLES: f64 = 20.0;

/// One route's evidence.
#[derive(Default)]
pub(crate) struct FailureEvidence {
    stable_succeeded: f64,
    stable_failed: f64,
    cusum: f64,
}

impl FailureEvidence {
    /// Adds requests that the stable version served.
    pub(crate) fn record_stable(&mut self, batch: &SampleBatch) {
        self.stable_succeeded += batch.succeeded as f64;
        self.stable_failed += batch.failed as f64;
    }

    /// Adds requests that the candidate served.
    pub(crate) fn record_candidate(&mut self, batch: &SampleBatch) {
        let allowed_rate = self.stable_failure_rate() + ALLOWED_EXCESS;
        let excessive_rate = allowed_rate + ALARM_EXCESS;
        let failure_weight = (excessive_rate / allowed_rate).ln();
        let success_weight = ((1.0 - excessive_rate) / (1.0 - allowed_rate)).ln();
        // The order inside a batch is not known. Successes come first, so that they can't hide failures that came last.
        self.cusum = (self.cusum + batch.succeeded as f64 * success_weight).max(0.0);
        self.cusum += batch.failed as f64 * failure_weight;
    }

    /// Returns the cumulative sum: 0 without evidence, larger the clearer it is that the candidate fails more often.
    pub(crate) fn cusum(&self) -> f64 {
        self.cusum
    }

    /// Returns the share of requests that the stable version fails.
    fn stable_failure_rate(&self) -> f64 {
        let samples = self.stable_succeeded + self.stable_failed + PRIOR_SAMPLES;
        ((self.stable_failed + PRIOR_SAMPLES * MIN_FAILURE_RATE) / samples).clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE)
    }
}
