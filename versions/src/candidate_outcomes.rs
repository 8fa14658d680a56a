//! Outcomes of the candidate, by engine.

use std::collections::BTreeMap;

use crate::engine_mixture::Observed;

/// Identifies an engine and the zone it runs in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EngineKey {
    /// Index in the list of zones.
    pub(crate) zone: usize,
    pub(crate) engine: u64,
}

/// Outcomes of one of the candidate's engines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CandidateOutcomes {
    pub(crate) observed: Observed,
    /// Requests whose response broke off or never came.
    pub(crate) lost: f64,
}

impl CandidateOutcomes {
    pub(crate) fn add(&mut self, other: &CandidateOutcomes) {
        self.observed.add(other.observed);
        self.lost += other.lost;
    }
}

/// Returns `sum` plus the outcomes of `spans`, by engine.
pub(crate) fn add_spans<'a>(
    mut sum: BTreeMap<EngineKey, CandidateOutcomes>,
    spans: impl Iterator<Item = &'a BTreeMap<EngineKey, CandidateOutcomes>>,
) -> BTreeMap<EngineKey, CandidateOutcomes> {
    for (key, outcomes) in spans.flatten() {
        sum.entry(*key).or_default().add(outcomes);
    }
    sum
}
