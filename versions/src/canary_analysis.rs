//! What pooled samples show of a candidate, compared with the stable version at the same time on the same routes.
//!
//! Failures are compared route by route, since a candidate may be faulty on one route only. Speed is compared over all routes:
//! the median time between the events of a response, against the stable version's in the same span.

use std::collections::BTreeMap;

use crate::failure_evidence::FailureEvidence;
use crate::recent_intervals::RecentIntervals;
use crate::{SampleBatch, Variant};

/// What the samples show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Enough samples, and none of them is evidence against the candidate.
    Healthy,
    /// Too few samples, or first evidence against the candidate.
    Inconclusive,
    /// The candidate fails more often than the stable version.
    Failing,
    /// The candidate is slower than the stable version.
    Slow,
}

/// CUSUM at which a candidate counts as failing: high enough that a false alarm is expected once in many rollouts.
const ALARM_THRESHOLD: f64 = 9.2;
/// CUSUM from which on a candidate no longer counts as healthy.
const SUSPICION_THRESHOLD: f64 = 3.0;
/// Successful requests of the candidate, over all routes, before it counts as healthy.
const MIN_SUCCESSES: u64 = 30;
/// Ratio of median intervals above which the candidate counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Responses of each version before their intervals are compared.
const MIN_INTERVAL_SAMPLES: u64 = 8;
/// Length of a span of intervals. The last one to two spans are compared.
const INTERVAL_SPAN_MS: u64 = 1500;

/// All evidence of one rollout.
pub struct CanaryAnalysis {
    routes: BTreeMap<String, FailureEvidence>,
    stable_intervals: RecentIntervals,
    candidate_intervals: RecentIntervals,
    /// Steady time at which the current span of intervals began, in milliseconds.
    rotated_at: u64,
    candidate_succeeded: u64,
}

impl CanaryAnalysis {
    /// Returns an analysis without samples. `now` is a steady time in milliseconds.
    pub fn new(now: u64) -> CanaryAnalysis {
        CanaryAnalysis {
            routes: BTreeMap::new(),
            stable_intervals: RecentIntervals::new(),
            candidate_intervals: RecentIntervals::new(),
            rotated_at: now,
            candidate_succeeded: 0,
        }
    }

    /// Adds samples of one route. `now` is a steady time in milliseconds.
    pub fn record(&mut self, route: &str, variant: Variant, batch: &SampleBatch, now: u64) {
        self.rotate_intervals(now);
        let intervals = match variant {
            Variant::Stable => &mut self.stable_intervals,
            Variant::Candidate => &mut self.candidate_intervals,
        };
        for (interval_us, count) in &batch.event_intervals {
            intervals.record(*interval_us, *count);
        }
        let evidence = self.routes.entry(route.into()).or_default();
        match variant {
            Variant::Stable => evidence.record_stable(batch),
            Variant::Candidate => {
                evidence.record_candidate(batch);
                self.candidate_succeeded += batch.succeeded;
            }
        }
    }

    fn rotate_intervals(&mut self, now: u64) {
        if now >= self.rotated_at + INTERVAL_SPAN_MS {
            self.stable_intervals.rotate();
            self.candidate_intervals.rotate();
            self.rotated_at = now;
        }
    }

    /// Returns what the samples show so far.
    pub fn verdict(&self) -> Verdict {
        let max_cusum = self.routes.values().map(FailureEvidence::cusum).fold(0.0, f64::max);
        if max_cusum >= ALARM_THRESHOLD {
            return Verdict::Failing;
        }
        if self.is_slow() {
            return Verdict::Slow;
        }
        match max_cusum < SUSPICION_THRESHOLD && self.candidate_succeeded >= MIN_SUCCESSES {
            true => Verdict::Healthy,
            false => Verdict::Inconclusive,
        }
    }

    fn is_slow(&self) -> bool {
        let (stable, candidate) = (&self.stable_intervals, &self.candidate_intervals);
        stable.count() >= MIN_INTERVAL_SAMPLES
            && candidate.count() >= MIN_INTERVAL_SAMPLES
            && candidate.median() > SLOW_FACTOR * stable.median()
    }
}

#[cfg(test)]
#[path = "canary_analysis_tests.rs"]
mod tests;
