//! Compares the pooled samples of a candidate with those of the stable version, at the same time and on the same
//! routes.
//!
//! Failures are compared on each route, since a candidate may be faulty on one route only, and at loaded engines over
//! all routes, since it may fail only under load. Speed is compared on each route: the time between the events of a
//! response, against that of the stable version at the same load.

use std::collections::BTreeMap;

use crate::engine_mixture::{combined_rate, Counts, Observed};
use crate::fault_evidence::{DetectionParams, Evidence};
use crate::load_evidence::LoadEvidence;
use crate::outcome_history::{EngineOutcomes, OutcomeHistory};
use crate::speed_evidence::SpeedEvidence;
use crate::{LoadClass, SampleBatch, SampleOrigin, Variant};

/// The result of the comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Enough samples, including ones of loaded engines, and no evidence against the candidate.
    HealthyUnderLoad,
    /// Enough samples, but too few of loaded engines, and no evidence against the candidate.
    Healthy,
    /// No evidence against the candidate, but so many engines of the stable version are failing or slow that a faulty
    /// candidate could look the same.
    Unprovable,
    /// Too few samples, or weak evidence against the candidate.
    Inconclusive,
    /// The candidate fails more often than the stable version.
    Failing,
    /// The candidate fails more often than the stable version at loaded engines.
    FailingUnderLoad,
    /// The candidate is slower than the stable version.
    Slow,
}

impl Verdict {
    /// Returns whether the candidate must stop serving requests.
    pub fn is_alarm(self) -> bool {
        matches!(self, Verdict::Failing | Verdict::FailingUnderLoad | Verdict::Slow)
    }

    /// Returns whether there are enough samples, apart from those under load, and no evidence against the candidate.
    pub fn is_healthy(self) -> bool {
        matches!(self, Verdict::Healthy | Verdict::HealthyUnderLoad | Verdict::Unprovable)
    }
}

/// Log likelihood ratio at which the candidate counts as faulty.
const ALARM_THRESHOLD: f64 = 7.0;
/// The same for faults under load. Lower, since only few engines are loaded.
const LOAD_ALARM_THRESHOLD: f64 = 5.5;
/// Log likelihood ratio at which the candidate no longer counts as healthy.
const SUSPICION_THRESHOLD: f64 = 3.0;
/// Log likelihood ratio, over all routes, of a fault that fails a quarter of the requests, at or below which the
/// candidate counts as healthy. With as few requests as that takes, a candidate that fails 30 % of them passes in fewer
/// than 10 % of all cases, and is then found in the load test.
const MAX_HEALTHY_RATIO: f64 = -3.1;
/// The same for a fault under load: a candidate that fails 30 % of the requests passes in about one of 200 cases.
const MAX_HEALTHY_LOAD_RATIO: f64 = -5.5;
/// The same for a small fault that other failures may hide: a candidate that fails 10 % of its requests passes in a few
/// percent of all cases, and a healthy one is rolled back as often.
const MAX_HIDDEN_FAULT_RATIO: f64 = -1.5;
/// The same for slow responses.
const MAX_HEALTHY_SPEED_RATIO: f64 = -1.0;
/// Minimum number of the candidate's responses, over all routes, whose speed was compared before it counts as healthy.
const MIN_SPEED_SAMPLES: u64 = 5;
/// Parameters for detecting candidates that fail requests.
const FAILURE_DETECTION: DetectionParams =
    DetectionParams { allowed_excess: 0.01, fault_rates: [0.08, 0.25, 0.5, 0.75, 0.95] };

/// Evidence of one route.
struct RouteEvidence {
    failures: OutcomeHistory,
    speed: SpeedEvidence,
}

/// All evidence of one rollout.
#[derive(Default)]
pub struct CanaryAnalysis {
    routes: BTreeMap<String, RouteEvidence>,
    load: LoadEvidence,
    /// Whether any engine reports how many requests it runs.
    reports_load: bool,
}

impl CanaryAnalysis {
    /// Returns an analysis without samples.
    pub fn new() -> CanaryAnalysis {
        CanaryAnalysis::default()
    }

    /// Adds samples of one origin. `now` is monotonic time in milliseconds.
    pub fn record(&mut self, origin: &SampleOrigin, batch: &SampleBatch, now: u64) {
        if !self.routes.contains_key(origin.route) {
            self.routes.insert(origin.route.into(), RouteEvidence::new());
        }
        let Some(route) = self.routes.get_mut(origin.route) else { return };
        let is_loaded = origin.load == LoadClass::Loaded;
        self.reports_load |= is_loaded || batch.event_intervals.iter().any(|interval| interval.running > 0);
        let outcomes = EngineOutcomes {
            engine: origin.engine,
            zone: origin.zone,
            passed: batch.succeeded,
            failed: batch.failed,
            lost: batch.lost,
        };
        if origin.variant == Variant::Stable {
            route.failures.record_stable(&outcomes, now);
            route.speed.record_stable(origin, &batch.event_intervals, now);
            return;
        }
        route.failures.record_candidate(&outcomes, now);
        route.speed.record_candidate(origin, &batch.event_intervals, now);
        let (rate, failing_share) = route.failures.current_stable_rates(origin.zone);
        let counts = Counts { passed: batch.succeeded as f64, bad: (batch.failed + batch.lost) as f64 };
        let observed = Observed::new(counts, combined_rate(rate, FAILURE_DETECTION.allowed_excess));
        self.load.record(origin.engine, is_loaded, observed, failing_share);
    }

    /// Returns the verdict on the samples so far.
    pub fn verdict(&self) -> Verdict {
        let failing_under_load = self.load.max_ratio();
        if failing_under_load >= LOAD_ALARM_THRESHOLD {
            return Verdict::FailingUnderLoad;
        }
        let failures: Vec<Evidence> = self.routes.values().map(|route| route.failures.evidence()).collect();
        let failing = max_strength(&failures);
        if failing >= ALARM_THRESHOLD {
            return Verdict::Failing;
        }
        let speeds: Vec<Evidence> = self.routes.values().map(|route| route.speed.evidence()).collect();
        let slow = max_strength(&speeds);
        if slow >= ALARM_THRESHOLD {
            return Verdict::Slow;
        }
        let is_suspected = failing_under_load.max(failing).max(slow) >= SUSPICION_THRESHOLD;
        let is_speed_acceptable = self.is_speed_acceptable(&speeds);
        if is_suspected || !is_speed_acceptable || exclusion_ratio(&failures) > MAX_HEALTHY_RATIO {
            return Verdict::Inconclusive;
        }
        if failures.iter().chain(&speeds).any(Evidence::many_engines_fail) {
            return Verdict::Unprovable;
        }
        let hidden_faults: Vec<f64> = failures.iter().filter_map(Evidence::hidden_fault_ratio).collect();
        let is_hidden_fault_excluded =
            hidden_faults.is_empty() || hidden_faults.into_iter().sum::<f64>() <= MAX_HIDDEN_FAULT_RATIO;
        if is_hidden_fault_excluded && (failing_under_load <= MAX_HEALTHY_LOAD_RATIO || !self.reports_load) {
            Verdict::HealthyUnderLoad
        } else {
            Verdict::Healthy
        }
    }

    /// Returns whether enough responses were compared in speed and found not slow, or speed can't be compared.
    fn is_speed_acceptable(&self, speeds: &[Evidence]) -> bool {
        let compared: u64 = self.routes.values().map(|route| route.speed.compared()).sum();
        let is_measurable = self.routes.values().any(|route| route.speed.is_measurable());
        !is_measurable || (compared >= MIN_SPEED_SAMPLES && exclusion_ratio(speeds) <= MAX_HEALTHY_SPEED_RATIO)
    }

    /// Returns the route with the strongest evidence against the candidate.
    pub fn worst_route(&self) -> Option<&str> {
        let worst = self.routes.iter().max_by(|(_, left), (_, right)| left.strength().total_cmp(&right.strength()));
        worst.map(|(route, _)| route.as_str())
    }
}

/// Returns the strength of the strongest evidence against the candidate on any route.
fn max_strength(routes: &[Evidence]) -> f64 {
    routes.iter().map(Evidence::strength).fold(0.0, f64::max)
}

/// Returns the log likelihood ratio of the faults that must be excluded, summed over all routes. A fault on a single
/// route shows in the evidence of that route.
fn exclusion_ratio(routes: &[Evidence]) -> f64 {
    routes.iter().map(Evidence::exclusion_ratio).sum()
}

impl RouteEvidence {
    fn new() -> RouteEvidence {
        RouteEvidence { failures: OutcomeHistory::new(FAILURE_DETECTION), speed: SpeedEvidence::new() }
    }

    fn strength(&self) -> f64 {
        self.failures.evidence().strength().max(self.speed.evidence().strength())
    }
}

#[cfg(test)]
#[path = "canary_analysis_tests.rs"]
mod tests;
