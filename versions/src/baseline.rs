//! How often the stable version's engines fail: the rate of sound ones, and the share of those that fail by themselves.

use std::collections::{BTreeMap, BTreeSet};

use crate::engine_mixture::{failing_probability, Counts};

/// The engine of which samples are not told apart. Where enough samples of others are there, its samples are left out: they hold
/// engines that fail by themselves.
pub(crate) const UNKNOWN_ENGINE: u64 = 0;
/// Samples of known engines from which on those of the unknown ones are left out.
const MIN_KNOWN_SAMPLES: f64 = 20.0;

/// Lowest rate that is assumed of sound engines.
const MIN_RATE: f64 = 0.005;
/// Weight, in samples, of the rate that is assumed before there are samples.
const PRIOR_SAMPLES: f64 = 20.0;
/// Highest rate that is assumed of sound engines: beyond it nothing can be told.
const MAX_RATE: f64 = 0.97;
/// Lowest and highest share of engines that are assumed to fail by themselves.
pub(crate) const MIN_FAILING_SHARE: f64 = 0.01;
const MAX_FAILING_SHARE: f64 = 0.5;
/// The share from which the estimate begins.
const FIRST_FAILING_SHARE: f64 = 0.1;
/// Rounds of the estimate: each improves the rate with the share, and the share with the rate.
const ROUNDS: usize = 4;
/// The probability from which on an engine is taken for one that fails by itself.
const FAILING_PROBABILITY: f64 = 0.8;

/// What the stable version's engines do at one time.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    /// The share of requests that sound engines fail.
    pub(crate) rate: f64,
    /// The share of engines that fail by themselves.
    pub(crate) failing_share: f64,
    /// The engines that are taken for failing.
    pub(crate) failing_engines: BTreeSet<u64>,
    /// Whether it rests on engines that are told apart alone.
    pub(crate) tells_engines_apart: bool,
}

impl Default for Baseline {
    fn default() -> Baseline {
        Baseline {
            rate: MIN_RATE,
            failing_share: MIN_FAILING_SHARE,
            failing_engines: BTreeSet::new(),
            tells_engines_apart: false,
        }
    }
}

impl Baseline {
    /// Estimates the baseline from the outcomes of the stable version's engines, by expectation and maximization.
    pub(crate) fn estimate(engines: &BTreeMap<u64, Counts>) -> Baseline {
        let known = || engines.iter().filter(|(engine, _)| **engine != UNKNOWN_ENGINE);
        let known_samples: f64 = known().map(|(_, counts)| counts.total()).sum();
        let tells_engines_apart = known_samples >= MIN_KNOWN_SAMPLES;
        let counted = || engines.iter().filter(|(engine, _)| **engine != UNKNOWN_ENGINE || !tells_engines_apart);
        let mut rate = rate_of(counted().map(|(_, counts)| *counts), MIN_RATE);
        let mut share = FIRST_FAILING_SHARE;
        let count = known().count() as f64;
        for _ in 0..ROUNDS {
            let probability = |counts: &Counts| failing_probability(*counts, share, rate);
            let expected: f64 = known().map(|(_, counts)| probability(counts)).sum();
            let sound = |(engine, counts): (&u64, &Counts)| {
                let mut counts = *counts;
                counts.scale(if *engine == UNKNOWN_ENGINE { 1.0 } else { 1.0 - probability(&counts) });
                counts
            };
            let next_rate = rate_of(counted().map(sound), MIN_RATE);
            share = ((expected + MIN_FAILING_SHARE) / (count + 1.0)).clamp(MIN_FAILING_SHARE, MAX_FAILING_SHARE);
            rate = next_rate;
        }
        let is_failing = |counts: &Counts| failing_probability(*counts, share, rate) > FAILING_PROBABILITY;
        let failing_engines = known().filter(|(_, counts)| is_failing(counts)).map(|(engine, _)| *engine).collect();
        Baseline { rate, failing_share: share, failing_engines, tells_engines_apart }
    }
}

/// Returns the rate of outcomes where `prior` is assumed before there are any.
pub(crate) fn rate_of(counts: impl Iterator<Item = Counts>, prior: f64) -> f64 {
    weighted_rate_of(counts, prior, PRIOR_SAMPLES)
}

/// Returns the rate of outcomes where `prior` has the weight of so many samples.
pub(crate) fn weighted_rate_of(counts: impl Iterator<Item = Counts>, prior: f64, weight: f64) -> f64 {
    let mut sum = Counts { passed: weight * (1.0 - prior), bad: weight * prior };
    counts.for_each(|one| sum.add(one));
    (sum.bad / sum.total()).clamp(MIN_RATE, MAX_RATE)
}

#[cfg(test)]
#[path = "baseline_tests.rs"]
mod tests;
