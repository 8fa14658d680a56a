//! Evidence that a candidate fails at loaded engines.
//!
//! Each engine is compared with itself before it was loaded, so that a failing engine is no evidence. An engine that
//! was healthy and fails under load is evidence against the version if few engines are failing; an engine that stays
//! healthy is evidence that the version withstands load.

use std::collections::BTreeMap;

use crate::baseline::MIN_FAILING_SHARE;
use crate::engine_mixture::{EngineHistory, Observed};

/// Additional failure rates under load that are tested as the size of a fault.
const FAULT_RATES: [f64; 4] = [0.3, 0.5, 0.75, 0.95];
/// Minimum number of bad outcomes of an engine before it was loaded at which its failures under load are no evidence
/// against the version.
const MIN_BAD_BEFORE: f64 = 2.0;
/// Number of samples of an engine above which its counts are halved, so that recent samples prevail.
const MAX_SAMPLES: f64 = 4000.0;

/// Evidence of faults under load, over all routes.
#[derive(Default)]
pub(crate) struct LoadEvidence {
    engines: BTreeMap<u64, EngineHistory>,
    /// The largest share of failing engines at the time of any sample under load.
    failing_share: f64,
}

impl LoadEvidence {
    /// Adds outcomes of an engine of the candidate. `failing_share` is the current share of failing engines among those
    /// of the stable version.
    pub(crate) fn record(&mut self, engine: u64, is_loaded: bool, outcomes: Observed, failing_share: f64) {
        let history = self.engines.entry(engine).or_default();
        let observed = if is_loaded { &mut history.after } else { &mut history.before };
        observed.add(outcomes);
        if observed.counts.total() > MAX_SAMPLES {
            observed.scale(0.5);
        }
        if is_loaded {
            self.failing_share = self.failing_share.max(failing_share);
        }
    }

    /// Returns the largest log likelihood ratio of a fault under load: the lower, the less likely is such a fault. 0
    /// without samples under load.
    pub(crate) fn max_ratio(&self) -> f64 {
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
