//! Evidence, on one route, that a candidate is slower than the stable version at the same load.
//!
//! The measure is the share of its responses that are slower than nearly all of the stable version's. So a version that
//! is slow for some of its requests is found as well as one that is slow for all.

use crate::fault_evidence::{DetectionParams, Evidence};
use crate::load_model::LoadModel;
use crate::outcome_history::{EngineOutcomes, OutcomeHistory};
use crate::{EventInterval, SampleOrigin};

/// Parameters for detecting slow candidates. Their share of slow responses may exceed the stable version's by 0.15.
const SLOWNESS_DETECTION: DetectionParams =
    DetectionParams { allowed_excess: 0.15, fault_rates: [0.35, 0.5, 0.65, 0.8, 0.95] };

/// Evidence of slow responses on one route.
pub(crate) struct SpeedEvidence {
    model: LoadModel,
    outcomes: OutcomeHistory,
    /// Number of the candidate's responses that were compared.
    compared: u64,
}

impl SpeedEvidence {
    pub(crate) fn new() -> SpeedEvidence {
        SpeedEvidence { model: LoadModel::default(), outcomes: OutcomeHistory::new(SLOWNESS_DETECTION), compared: 0 }
    }

    /// Adds responses of the stable version.
    pub(crate) fn record_stable(&mut self, origin: &SampleOrigin, intervals: &[EventInterval], now: u64) {
        let warm = intervals.iter().filter(|interval| !interval.is_cold);
        let verdicts: Vec<bool> = warm
            .filter_map(|interval| self.model.record(origin.engine, interval.running, interval.interval_us as f64))
            .collect();
        if !verdicts.is_empty() {
            self.outcomes.record_stable(&outcomes_of(origin, &verdicts), now);
        }
    }

    /// Adds responses of the candidate. They are ignored until there are enough of the stable version.
    pub(crate) fn record_candidate(&mut self, origin: &SampleOrigin, intervals: &[EventInterval], now: u64) {
        let verdicts: Vec<bool> = intervals.iter().filter_map(|interval| self.is_slow(interval)).collect();
        if verdicts.is_empty() {
            return;
        }
        self.compared += verdicts.len() as u64;
        self.outcomes.record_candidate(&outcomes_of(origin, &verdicts), now);
    }

    /// Returns whether a response is slow. `None` if there is nothing to compare it with, or if its engine may be slow
    /// only because it has just started.
    fn is_slow(&self, interval: &EventInterval) -> Option<bool> {
        let is_slow = self.model.is_slow(interval.running, interval.interval_us as f64);
        is_slow.filter(|is_slow| !(*is_slow && interval.is_cold))
    }

    /// Returns the evidence that the responses give.
    pub(crate) fn evidence(&self) -> Evidence {
        self.outcomes.evidence()
    }

    /// Returns how many responses of the candidate were compared.
    pub(crate) fn compared(&self) -> u64 {
        self.compared
    }

    /// Returns whether the stable version had enough responses of several events to compare with.
    pub(crate) fn is_measurable(&self) -> bool {
        self.model.is_slow(0, 0.0).is_some()
    }
}

fn outcomes_of<'a>(origin: &SampleOrigin<'a>, verdicts: &[bool]) -> EngineOutcomes<'a> {
    let slow = verdicts.iter().filter(|is_slow| **is_slow).count() as u64;
    let passed = verdicts.len() as u64 - slow;
    EngineOutcomes { engine: origin.engine, zone: origin.zone, passed, failed: slow, lost: 0 }
}
