//! Outcomes of the candidate by engine.

use std::collections::BTreeMap;

use crate::engine_mixture::Observed;

/// An engine, and the index of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EngineKey {
    pub(crate) zone: usize,
    pub(crate) engine: u64,
}

/// Outcomes of one of the candidate's engines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CandidateOutcomes {
    pub(crate) observed: Observed,
    pub(crate) lost: f64,
}

impl CandidateOutcomes {
    pub(crate) fn add(&mut self, other: &CandidateOutcomes) {
        self.observed.add(other.observed);
        self.lost += other.lost;
    }
}

/// Adds the outcomes of some spans, engine by engine, to a sum.
pub(crate) fn sum_of<'a>(
    mut sum: BTreeMap<EngineKey, CandidateOutcomes>,
    spans: impl Iterator<Item = &'a BTreeMap<EngineKey, CandidateOutcomes>>,
) -> BTreeMap<EngineKey, CandidateOutcomes> {
    for (key, outcomes) in spans.flatten() {
        sum.entry(*key).or_default().add(outcomes);
    }
    sum
}
