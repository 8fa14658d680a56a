//! What pooled samples say of a new version, beside the old one at the same time on the same routes.
//!
//! Failures: for each route a one-sided CUSUM (Page's test) of the log likelihood ratio between the failure rate of the old
//! version, with an allowance, and one that is clearly worse. It finds a version that is bad from its start as soon as a
//! sequential test would, and one that turns bad later as soon, since what was good before does not count against it.
//! Pace: the median time between the events of an answer, against the old version's in the same span.

use std::collections::BTreeMap;
use std::mem;

use hdrhistogram::Histogram;

/// Which version served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Variant {
    /// The one that is in place.
    Stable,
    /// The one that is brought in.
    Candidate,
}

/// The times between events, in microseconds.
pub type IntervalHistogram = Histogram<u64>;

/// Samples of one route and version that came together.
#[derive(Clone, Debug, Default)]
pub struct SampleBatch {
    /// Requests that ended as they should.
    pub succeeded: u64,
    /// Requests whose engine failed them.
    pub failed: u64,
    /// Mean times between the events of an answer, in microseconds, and how many answers had them.
    pub event_intervals: Vec<(u64, u64)>,
}

/// What was found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it, and enough was seen to say so.
    Healthy,
    /// Not enough was seen, or something begins to speak against it.
    Inconclusive,
    /// It fails more often than the old one.
    Failing,
    /// It is slower than the old one.
    Slow,
}

/// Where the likelihood ratio decides: a false alarm in about so many requests that one would be expected only in many
/// rollouts.
const ALARM_THRESHOLD: f64 = 9.2;
/// Under this nothing begins to speak against it.
const SUSPICION_THRESHOLD: f64 = 3.0;
/// What a version may fail more often than the old one without being called bad, and what is clearly worse.
const ALLOWED_EXCESS: f64 = 0.02;
const ALARM_EXCESS: f64 = 0.2;
/// The old version's failures are taken for at least and at most this share.
const MIN_FAILURE_RATE: f64 = 0.005;
const MAX_FAILURE_RATE: f64 = 0.5;
/// Samples of the old version before its own rate is believed: until then it is mixed with the least one.
const PRIOR_SAMPLES: f64 = 20.0;
/// Good samples of all routes that are enough to go on.
const MIN_SUCCESSES: u64 = 30;
/// Times slower than the old one that is called slow, and answers of each that are enough to say so.
const SLOW_FACTOR: f64 = 2.5;
const MIN_INTERVAL_SAMPLES: u64 = 8;
/// Old samples of the pace are forgotten in two steps of this.
const INTERVAL_SPAN_MS: u64 = 1500;
const MAX_INTERVAL_US: u64 = 60_000_000;

/// One route's evidence.
#[derive(Default)]
struct RouteEvidence {
    stable_succeeded: f64,
    stable_failed: f64,
    cusum: f64,
}

impl RouteEvidence {
    /// The share of requests that the old version fails.
    fn stable_failure_rate(&self) -> f64 {
        let samples = self.stable_succeeded + self.stable_failed + PRIOR_SAMPLES;
        ((self.stable_failed + PRIOR_SAMPLES * MIN_FAILURE_RATE) / samples).clamp(MIN_FAILURE_RATE, MAX_FAILURE_RATE)
    }

    fn record_candidate(&mut self, succeeded: u64, failed: u64) {
        let allowed_rate = self.stable_failure_rate() + ALLOWED_EXCESS;
        let excessive_rate = allowed_rate + ALARM_EXCESS;
        let failure_weight = (excessive_rate / allowed_rate).ln();
        let success_weight = ((1.0 - excessive_rate) / (1.0 - allowed_rate)).ln();
        // The order inside a batch is not known: what speaks for it comes first, so that it cannot hide what comes last.
        self.cusum = (self.cusum + succeeded as f64 * success_weight).max(0.0);
        self.cusum += failed as f64 * failure_weight;
    }
}

/// The pace of one version, over the last one to two spans.
struct RecentIntervals {
    current: IntervalHistogram,
    previous: IntervalHistogram,
}

fn empty_histogram() -> IntervalHistogram {
    IntervalHistogram::new_with_max(MAX_INTERVAL_US, 2).unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}

impl RecentIntervals {
    fn new() -> RecentIntervals {
        RecentIntervals { current: empty_histogram(), previous: empty_histogram() }
    }

    fn rotate(&mut self) {
        self.previous = mem::replace(&mut self.current, empty_histogram());
    }

    fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    fn median(&self) -> f64 {
        let mut all = self.previous.clone();
        let _ = all.add(&self.current);
        all.value_at_quantile(0.5) as f64
    }
}

/// All evidence of one rollout.
pub struct CanaryAnalysis {
    routes: BTreeMap<String, RouteEvidence>,
    stable_intervals: RecentIntervals,
    candidate_intervals: RecentIntervals,
    rotated_at: u64,
    candidate_succeeded: u64,
    candidate_failed: u64,
}

impl CanaryAnalysis {
    /// One that has seen nothing.
    pub fn new(now: u64) -> CanaryAnalysis {
        CanaryAnalysis {
            routes: BTreeMap::new(),
            stable_intervals: RecentIntervals::new(),
            candidate_intervals: RecentIntervals::new(),
            rotated_at: now,
            candidate_succeeded: 0,
            candidate_failed: 0,
        }
    }

    /// Takes samples in.
    pub fn record(&mut self, route: &str, variant: Variant, batch: &SampleBatch, now: u64) {
        if now >= self.rotated_at + INTERVAL_SPAN_MS {
            self.stable_intervals.rotate();
            self.candidate_intervals.rotate();
            self.rotated_at = now;
        }
        let intervals = match variant {
            Variant::Stable => &mut self.stable_intervals,
            Variant::Candidate => &mut self.candidate_intervals,
        };
        for (interval_us, count) in &batch.event_intervals {
            let _ = intervals.current.record_n((*interval_us).clamp(1, MAX_INTERVAL_US), *count);
        }
        let evidence = self.routes.entry(route.into()).or_default();
        match variant {
            Variant::Stable => {
                evidence.stable_succeeded += batch.succeeded as f64;
                evidence.stable_failed += batch.failed as f64;
            }
            Variant::Candidate => {
                evidence.record_candidate(batch.succeeded, batch.failed);
                self.candidate_succeeded += batch.succeeded;
                self.candidate_failed += batch.failed;
            }
        }
    }

    /// Requests that the new version served, good and failed.
    pub fn candidate_seen(&self) -> (u64, u64) {
        (self.candidate_succeeded, self.candidate_failed)
    }

    /// What the samples say by now.
    pub fn verdict(&self) -> Verdict {
        let max_cusum = self.routes.values().map(|route| route.cusum).fold(0.0, f64::max);
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
