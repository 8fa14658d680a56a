//! Baseline of the stable version: the failure rate of its healthy engines, and the share of its engines that are
//! failing.
//!
//! A failing engine fails requests whatever version it runs.

use std::collections::{BTreeMap, BTreeSet};

use crate::engine_mixture::{failing_probability, Counts};

/// Stands for all engines whose samples carry no engine id. Its samples are left out once there are enough of
/// identified engines: they mix healthy and failing engines.
pub(crate) const UNKNOWN_ENGINE: u64 = 0;
/// Minimum number of samples of identified engines at which those of the unknown engine are left out.
const MIN_KNOWN_SAMPLES: f64 = 20.0;

/// Lower bound of the estimated failure rate of healthy engines.
const MIN_RATE: f64 = 0.005;
/// Weight of the prior rate, in samples.
const PRIOR_SAMPLES: f64 = 20.0;
/// Upper bound of the estimated failure rate of healthy engines: above it, a fault of the candidate can't be detected.
const MAX_RATE: f64 = 0.97;
/// Lower and upper bound of the estimated share of failing engines.
pub(crate) const MIN_FAILING_SHARE: f64 = 0.01;
const MAX_FAILING_SHARE: f64 = 0.5;
/// Share of failing engines at which the estimation starts.
const INITIAL_FAILING_SHARE: f64 = 0.1;
/// Iterations of expectation-maximization: each re-estimates the rate from the share and the share from the rate.
const EM_ITERATIONS: usize = 4;
/// Probability above which an engine is classified as failing.
const MIN_FAILING_PROBABILITY: f64 = 0.8;

/// Failure rate and failing engines of the stable version over one period.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    /// The share of their requests that healthy engines fail.
    pub(crate) rate: f64,
    /// The share of engines that are failing.
    pub(crate) failing_share: f64,
    /// The engines that are classified as failing.
    pub(crate) failing_engines: BTreeSet<u64>,
    /// Whether the samples of [`UNKNOWN_ENGINE`] were left out.
    pub(crate) excludes_unknown_engine: bool,
}

impl Default for Baseline {
    fn default() -> Baseline {
        Baseline {
            rate: MIN_RATE,
            failing_share: MIN_FAILING_SHARE,
            failing_engines: BTreeSet::new(),
            excludes_unknown_engine: false,
        }
    }
}

impl Baseline {
    /// Estimates the baseline from the outcomes of the stable version's engines by expectation-maximization.
    pub(crate) fn estimate(engines: &BTreeMap<u64, Counts>) -> Baseline {
        let known = || engines.iter().filter(|(engine, _)| **engine != UNKNOWN_ENGINE);
        let known_samples: f64 = known().map(|(_, counts)| counts.total()).sum();
        let excludes_unknown_engine = known_samples >= MIN_KNOWN_SAMPLES;
        let counted = || engines.iter().filter(|(engine, _)| **engine != UNKNOWN_ENGINE || !excludes_unknown_engine);
        let mut rate = smoothed_rate(counted().map(|(_, counts)| *counts), MIN_RATE);
        let mut share = INITIAL_FAILING_SHARE;
        let count = known().count() as f64;
        for _ in 0..EM_ITERATIONS {
            let probability = |counts: &Counts| failing_probability(*counts, share, rate);
            let expected_failing: f64 = known().map(|(_, counts)| probability(counts)).sum();
            let weighted_by_health = |(engine, counts): (&u64, &Counts)| {
                let mut counts = *counts;
                counts.scale(if *engine == UNKNOWN_ENGINE { 1.0 } else { 1.0 - probability(&counts) });
                counts
            };
            let next_rate = smoothed_rate(counted().map(weighted_by_health), MIN_RATE);
            share =
                ((expected_failing + MIN_FAILING_SHARE) / (count + 1.0)).clamp(MIN_FAILING_SHARE, MAX_FAILING_SHARE);
            rate = next_rate;
        }
        let is_failing = |counts: &Counts| failing_probability(*counts, share, rate) > MIN_FAILING_PROBABILITY;
        let failing_engines = known().filter(|(_, counts)| is_failing(counts)).map(|(engine, _)| *engine).collect();
        Baseline { rate, failing_share: share, failing_engines, excludes_unknown_engine }
    }
}

/// Returns the rate of bad outcomes, smoothed towards the rate `prior`.
pub(crate) fn smoothed_rate(counts: impl Iterator<Item = Counts>, prior: f64) -> f64 {
    smoothed_rate_with_weight(counts, prior, PRIOR_SAMPLES)
}

/// Returns the rate of bad outcomes, smoothed towards the rate `prior` with a weight of `weight` samples.
pub(crate) fn smoothed_rate_with_weight(counts: impl Iterator<Item = Counts>, prior: f64, weight: f64) -> f64 {
    let mut sum = Counts { passed: weight * (1.0 - prior), bad: weight * prior };
    counts.for_each(|counts| sum.add(counts));
    (sum.bad / sum.total()).clamp(MIN_RATE, MAX_RATE)
}

#[cfg(test)]
#[path = "baseline_tests.rs"]
mod tests;
