//! The evidence of one route that a candidate is slower than the stable version at the same load.
//!
//! What counts is how many of its responses are slower than nearly all of the stable version's, so that a version that is slow
//! for a part of its requests shows as well as one that is slow for all.

use crate::base_rate::BaseRate;
use crate::cusum::{Cusum, EngineOutcomes, Tuning};
use crate::load_model::LoadModel;
use crate::{EventInterval, SampleOrigin};

/// A candidate may have slow responses a tenth more often than the stable version; four tenths more often is clearly worse.
const TUNING: Tuning = Tuning { allowed_excess: 0.1, alarm_excess: 0.3 };
/// The share of its own responses by which the stable version is assumed to be slow at least.
const MIN_SLOW_RATE: f64 = 0.04;

/// The evidence.
pub(crate) struct SpeedEvidence {
    model: LoadModel,
    stable: BaseRate,
    cusum: Cusum,
    compared: u64,
}

impl SpeedEvidence {
    pub(crate) fn new() -> SpeedEvidence {
        SpeedEvidence {
            model: LoadModel::default(),
            stable: BaseRate::default(),
            cusum: Cusum::new(TUNING),
            compared: 0,
        }
    }

    /// Adds responses of the stable version.
    pub(crate) fn record_stable(&mut self, intervals: &[EventInterval], now: u64) {
        for interval in intervals.iter().filter(|interval| !interval.is_cold) {
            if let Some(is_slow) = self.model.record(interval.running, interval.interval_us as f64) {
                self.stable.record(u64::from(!is_slow), u64::from(is_slow), now);
            }
        }
    }

    /// Adds responses of the candidate. They say nothing until enough of the stable version were seen.
    pub(crate) fn record_candidate(&mut self, origin: &SampleOrigin, intervals: &[EventInterval], now: u64) {
        let verdicts: Vec<bool> = intervals.iter().filter_map(|interval| self.is_slow(interval)).collect();
        if verdicts.is_empty() {
            return;
        }
        let slow = verdicts.iter().filter(|is_slow| **is_slow).count() as u64;
        let others = verdicts.len() as u64 - slow;
        self.compared += verdicts.len() as u64;
        let outcomes =
            EngineOutcomes { engine: origin.engine, zone: origin.zone, passed: others, failed: slow, lost: 0 };
        let base_rate = self.stable.rate(now).max(MIN_SLOW_RATE);
        self.cusum.record(&outcomes, base_rate);
    }

    /// Returns whether a response is slow. `None`: nothing can be said, since there is nothing to compare with, or the engine is
    /// slow from its start.
    fn is_slow(&self, interval: &EventInterval) -> Option<bool> {
        let is_slow = self.model.is_slow(interval.running, interval.interval_us as f64);
        is_slow.filter(|is_slow| !(*is_slow && interval.is_cold))
    }

    /// Returns the cumulative sum: 0 without evidence, larger the clearer it is that the candidate is slower.
    pub(crate) fn cusum(&self) -> f64 {
        self.cusum.value()
    }

    /// Returns how many responses of the candidate were compared.
    pub(crate) fn compared(&self) -> u64 {
        self.compared
    }

    /// Returns whether the stable version's responses have several events, so that there is something to compare with.
    pub(crate) fn is_measurable(&self) -> bool {
        self.model.is_slow(0, 0.0).is_some()
    }
}
