//! The evidence that a candidate fails at engines that are loaded.
//!
//! Each engine is compared with itself before it was loaded, so that one that fails by itself says nothing. One engine that was
//! sound and fails under load is evidence where engines seldom fail by themselves, and one that does not is evidence that the
//! version bears load.

use std::collections::BTreeMap;

use crate::baseline::MIN_FAILING_SHARE;
use crate::engine_mixture::{EngineHistory, Observed};

/// The further shares of requests that a version which does not bear load may fail under it.
const FAULT_RATES: [f64; 4] = [0.3, 0.5, 0.75, 0.95];
/// Bad outcomes of one engine before it was loaded, from which on its failures under load are taken for its own.
const MIN_BAD_BEFORE: f64 = 2.0;
/// Samples of an engine at which they are halved, so that they follow what is recent.
const MAX_SAMPLES: f64 = 4000.0;

/// The evidence, over all routes.
#[derive(Default)]
pub(crate) struct LoadEvidence {
    engines: BTreeMap<u64, EngineHistory>,
    /// The largest share of engines that were seen to fail by themselves.
    failing_share: f64,
}

impl LoadEvidence {
    /// Adds outcomes of an engine of the candidate. `failing_share` is the share of the stable version's engines that fail by
    /// themselves now.
    pub(crate) fn record(&mut self, engine: u64, is_loaded: bool, outcomes: Observed, failing_share: f64) {
        let history = self.engines.entry(engine).or_default();
        let part = if is_loaded { &mut history.after } else { &mut history.before };
        part.add(outcomes);
        if part.counts.total() > MAX_SAMPLES {
            part.scale(0.5);
        }
        if is_loaded {
            self.failing_share = self.failing_share.max(failing_share);
        }
    }

    /// Returns the largest log likelihood ratio of a fault under load: the lower, the surer that the candidate bears load. 0 without
    /// samples.
    pub(crate) fn strongest_ratio(&self) -> f64 {
        FAULT_RATES.iter().map(|fault_rate| self.log_likelihood_ratio(*fault_rate)).fold(f64::NEG_INFINITY, f64::max)
    }

    fn log_likelihood_ratio(&self, fault_rate: f64) -> f64 {
        let failing_share = self.failing_share.max(MIN_FAILING_SHARE);
        let ratio = |history: &EngineHistory| {
            let ratio = history.log_likelihood_ratio(failing_share, fault_rate);
            if history.before.counts.bad >= MIN_BAD_BEFORE {
                ratio.min(0.0)
            } else {
                ratio
            }
        };
        self.engines.values().filter(|history| history.after.counts.total() > 0.0).map(ratio).sum()
    }
}

#[cfg(test)]
#[path = "load_evidence_tests.rs"]
mod tests;
