//! The evidence of one route, at one class of load, that a candidate fails more often than the stable version.

use crate::base_rate::BaseRate;
use crate::cusum::{Cusum, EngineOutcomes, Tuning};
use crate::{SampleBatch, SampleOrigin};

/// Finds versions that fail a fifth of their requests or more within a dozen of samples.
const COARSE: Tuning = Tuning { allowed_excess: 0.02, alarm_excess: 0.2 };
/// Finds versions that fail some hundredths of their requests within some hundred samples.
const FINE: Tuning = Tuning { allowed_excess: 0.015, alarm_excess: 0.06 };

/// The evidence.
pub(crate) struct FailureEvidence {
    stable: BaseRate,
    coarse: Cusum,
    fine: Cusum,
}

impl FailureEvidence {
    pub(crate) fn new() -> FailureEvidence {
        FailureEvidence { stable: BaseRate::default(), coarse: Cusum::new(COARSE), fine: Cusum::new(FINE) }
    }

    /// Adds requests that the stable version served.
    pub(crate) fn record_stable(&mut self, batch: &SampleBatch, now: u64) {
        self.stable.record(batch.succeeded, batch.failed + batch.lost, now);
    }

    /// Returns the share of requests that the stable version fails.
    pub(crate) fn stable_rate(&mut self, now: u64) -> f64 {
        self.stable.rate(now)
    }

    /// Adds requests that the candidate served. `base_rate` is the share that the stable version fails.
    pub(crate) fn record_candidate(&mut self, origin: &SampleOrigin, batch: &SampleBatch, base_rate: f64) {
        let outcomes = EngineOutcomes {
            engine: origin.engine,
            zone: origin.zone,
            passed: batch.succeeded,
            failed: batch.failed,
            lost: batch.lost,
        };
        self.coarse.record(&outcomes, base_rate);
        self.fine.record(&outcomes, base_rate);
    }

    /// Returns the cumulative sum: 0 without evidence, larger the clearer it is that the candidate fails more often.
    pub(crate) fn cusum(&self) -> f64 {
        self.coarse.value().max(self.fine.value())
    }
}
