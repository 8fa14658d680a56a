//! What pooled samples show of a candidate, compared with the stable version at the same time on the same routes.
//!
//! Failures are compared route by route, since a candidate may be faulty on one route only, and over all routes at engines that are
//! loaded, since it may fail only there. Speed is compared route by route: the time between the events of a response, against the stable version's at the same
//! load.

use std::collections::BTreeMap;

use crate::engine_mixture::{either, Counts, Observed};
use crate::fault_evidence::{Evidence, Tuning};
use crate::load_evidence::LoadEvidence;
use crate::outcome_history::{EngineOutcomes, OutcomeHistory};
use crate::speed_evidence::SpeedEvidence;
use crate::{LoadClass, SampleBatch, SampleOrigin, Variant};

/// What the samples show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Enough samples, also of engines that are loaded, and none of them is evidence against the candidate.
    HealthyUnderLoad,
    /// Enough samples, and none of them is evidence against the candidate; too few of engines that are loaded.
    Healthy,
    /// Nothing speaks against the candidate, but so many engines of the stable version fail or are slow by themselves that a faulty
    /// one could not be told from it for sure.
    Unprovable,
    /// Too few samples, or first evidence against the candidate.
    Inconclusive,
    /// The candidate fails more often than the stable version.
    Failing,
    /// The candidate fails more often than the stable version at engines that are loaded.
    FailingUnderLoad,
    /// The candidate is slower than the stable version.
    Slow,
}

impl Verdict {
    /// Returns whether the candidate must not serve any longer.
    pub fn is_alarm(self) -> bool {
        matches!(self, Verdict::Failing | Verdict::FailingUnderLoad | Verdict::Slow)
    }

    /// Returns whether nothing speaks against the candidate, as far as it could be seen without load.
    pub fn is_healthy(self) -> bool {
        matches!(self, Verdict::Healthy | Verdict::HealthyUnderLoad | Verdict::Unprovable)
    }
}

/// The log likelihood ratio from which on the candidate counts as faulty.
const ALARM_THRESHOLD: f64 = 7.0;
/// The same for faults under load, which rest on few engines.
const LOAD_ALARM_THRESHOLD: f64 = 5.5;
/// The log likelihood ratio from which on a candidate no longer counts as healthy.
const SUSPICION_THRESHOLD: f64 = 3.0;
/// How low the log likelihood ratio of a fault that fails a quarter of the requests is before the candidate counts as healthy, over
/// all routes. One that fails three tenths passes for healthy in fewer than a tenth of all cases at so few requests, and shows
/// in the load test.
const HEALTHY_RATIO: f64 = -3.1;
/// The same for a fault under load: one that fails three tenths of the requests passes in about one of two hundred cases.
const HEALTHY_LOAD_RATIO: f64 = -5.5;
/// The same for a small fault that other failures may hide: a version that fails a tenth of its requests passes in some hundredths of
/// all cases, and a good one is taken back as often.
const NO_HIDDEN_FAULT_RATIO: f64 = -1.5;
/// The same for responses that are slow.
const HEALTHY_SPEED_RATIO: f64 = -1.0;
/// Responses of the candidate that were compared in speed, over all routes, before it counts as healthy.
const MIN_COMPARED_SPEEDS: u64 = 5;
/// Which failing candidates are to be found.
const FAILURE_TUNING: Tuning = Tuning { allowed_excess: 0.01, fault_rates: [0.08, 0.25, 0.5, 0.75, 0.95] };

/// The evidence of one route.
struct RouteEvidence {
    failures: OutcomeHistory,
    speed: SpeedEvidence,
}

/// All evidence of one rollout.
#[derive(Default)]
pub struct CanaryAnalysis {
    routes: BTreeMap<String, RouteEvidence>,
    load: LoadEvidence,
    /// Whether any engine tells how many requests it runs.
    tells_load: bool,
}

impl CanaryAnalysis {
    /// Returns an analysis without samples.
    pub fn new() -> CanaryAnalysis {
        CanaryAnalysis::default()
    }

    /// Adds samples of one origin. `now` is a steady time in milliseconds.
    pub fn record(&mut self, origin: &SampleOrigin, batch: &SampleBatch, now: u64) {
        if !self.routes.contains_key(origin.route) {
            self.routes.insert(origin.route.into(), RouteEvidence::new());
        }
        let Some(route) = self.routes.get_mut(origin.route) else { return };
        let is_loaded = origin.load == LoadClass::Loaded;
        self.tells_load |= is_loaded || batch.event_intervals.iter().any(|interval| interval.running > 0);
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
        let (rate, failing_share) = route.failures.stable_now(origin.zone);
        let counts = Counts { passed: batch.succeeded as f64, bad: (batch.failed + batch.lost) as f64 };
        let observed = Observed::new(counts, either(rate, FAILURE_TUNING.allowed_excess));
        self.load.record(origin.engine, is_loaded, observed, failing_share);
    }

    /// Returns what the samples show so far.
    pub fn verdict(&self) -> Verdict {
        let failing_under_load = self.load.strongest_ratio();
        if failing_under_load >= LOAD_ALARM_THRESHOLD {
            return Verdict::FailingUnderLoad;
        }
        let failures: Vec<Evidence> = self.routes.values().map(|route| route.failures.evidence()).collect();
        let failing = strongest(&failures);
        if failing >= ALARM_THRESHOLD {
            return Verdict::Failing;
        }
        let speeds: Vec<Evidence> = self.routes.values().map(|route| route.speed.evidence()).collect();
        let slow = strongest(&speeds);
        if slow >= ALARM_THRESHOLD {
            return Verdict::Slow;
        }
        let is_suspected = failing_under_load.max(failing).max(slow) >= SUSPICION_THRESHOLD;
        let is_fast = self.has_compared_speeds(&speeds);
        if is_suspected || !is_fast || ruled_out_ratio(&failures) > HEALTHY_RATIO {
            return Verdict::Inconclusive;
        }
        if failures.iter().chain(&speeds).any(Evidence::many_engines_fail) {
            return Verdict::Unprovable;
        }
        let hidden_faults: Vec<f64> = failures.iter().filter_map(Evidence::hidden_fault_ratio).collect();
        let hides_none = hidden_faults.is_empty() || hidden_faults.into_iter().sum::<f64>() <= NO_HIDDEN_FAULT_RATIO;
        if hides_none && (failing_under_load <= HEALTHY_LOAD_RATIO || !self.tells_load) {
            Verdict::HealthyUnderLoad
        } else {
            Verdict::Healthy
        }
    }

    /// Returns whether enough responses were compared in speed and found fast, where they can be compared.
    fn has_compared_speeds(&self, speeds: &[Evidence]) -> bool {
        let compared: u64 = self.routes.values().map(|route| route.speed.compared()).sum();
        let is_measurable = self.routes.values().any(|route| route.speed.is_measurable());
        !is_measurable || (compared >= MIN_COMPARED_SPEEDS && ruled_out_ratio(speeds) <= HEALTHY_SPEED_RATIO)
    }

    /// Returns the route that has the most evidence against the candidate.
    pub fn worst_route(&self) -> Option<&str> {
        let worst = self.routes.iter().max_by(|(_, one), (_, two)| one.against().total_cmp(&two.against()));
        worst.map(|(route, _)| route.as_str())
    }
}

/// Returns the strongest evidence against the candidate among all routes.
fn strongest(routes: &[Evidence]) -> f64 {
    routes.iter().map(Evidence::strength).fold(0.0, f64::max)
}

/// Returns the log likelihood ratio of the faults that must be ruled out, over all routes together. A fault of one route alone shows by
/// the evidence of that route.
fn ruled_out_ratio(routes: &[Evidence]) -> f64 {
    routes.iter().map(Evidence::ruled_out_ratio).sum()
}

impl RouteEvidence {
    fn new() -> RouteEvidence {
        RouteEvidence { failures: OutcomeHistory::new(FAILURE_TUNING), speed: SpeedEvidence::new() }
    }

    fn against(&self) -> f64 {
        self.failures.evidence().strength().max(self.speed.evidence().strength())
    }
}

#[cfg(test)]
#[path = "canary_analysis_tests.rs"]
mod tests;
