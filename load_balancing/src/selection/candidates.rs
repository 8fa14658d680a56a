//! Determines the engines that a selection considers.

use super::SelectionContext;
use crate::engine_state::EngineState;
use crate::phase::Phase;
use crate::subset::Subset;

/// The current suitability of an eligible engine; a better rating compares greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rating {
    /// The engine is suspected to be down.
    Suspected,
    /// The engine has recently rejected a request.
    RecentlySaturated,
    /// No problem is known.
    Good,
}

impl SelectionContext<'_> {
    pub(super) fn subset(&self, phase: Phase) -> Option<&Subset> {
        self.engine_table.subset(self.service, phase, self.arm.is_candidate())
    }

    /// Returns whether the service has engines of a phase at all, whether or not they can be selected.
    pub fn has_phase(&self, phase: Phase) -> bool {
        self.subset(phase).is_some_and(|subset| !subset.engines.is_empty())
    }

    /// Returns whether every phase of the service has an engine that can be selected.
    pub fn is_usable(&self) -> bool {
        !self.candidates(Phase::Decode).is_empty()
            && (!self.has_phase(Phase::Prefill) || !self.candidates(Phase::Prefill).is_empty())
    }

    /// Returns the indices of the engines that a selection considers: the best rated of this router's subset. All
    /// engines are considered only if the subset has none that is better than suspected.
    pub fn candidates(&self, phase: Phase) -> Vec<usize> {
        if let Some(engine) = self.placed_engine(phase) {
            return vec![engine];
        }
        let Some(subset) = self.subset(phase) else { return Vec::new() };
        let (best, found) = self.best_rated(&subset.sampled, phase);
        if best > Some(Rating::Suspected) {
            return found;
        }
        self.best_rated(&subset.engines, phase).1
    }

    /// Returns the best rating in a list, and the engines that have it.
    fn best_rated(&self, engines: &[usize], phase: Phase) -> (Option<Rating>, Vec<usize>) {
        let (mut best, mut found) = (None, Vec::new());
        for index in engines {
            let Some(rating) = self.rating(*index, phase) else { continue };
            if Some(rating) > best {
                found.clear();
                best = Some(rating);
            }
            if Some(rating) == best {
                found.push(*index);
            }
        }
        (best, found)
    }

    /// Returns the current rating of an engine, or `None` if it can't be selected.
    pub(super) fn rating(&self, index: usize, phase: Phase) -> Option<Rating> {
        let engine = self.engine_table.engines.get(index)?;
        if !self.is_eligible(index, engine, phase) || !self.slow_start_allows(engine) {
            return None;
        }
        if engine.suspected_until > self.now {
            return Some(Rating::Suspected);
        }
        if engine.saturated_until > self.now {
            return Some(Rating::RecentlySaturated);
        }
        Some(Rating::Good)
    }

    fn is_eligible(&self, index: usize, engine: &EngineState, phase: Phase) -> bool {
        let serves_phase = match phase {
            Phase::Prefill => engine.prefill,
            Phase::Decode => engine.decode,
        };
        engine.service == self.service
            && serves_phase
            && engine.is_candidate == self.arm.is_candidate()
            && engine.up
            && engine.listed
            && engine.reassigning_until <= self.now
            && !self.excluded_zones.contains(&engine.zone)
            && !self.tried_engines.contains(&index)
            && self.has_allowed_weights(engine)
    }

    fn has_allowed_weights(&self, engine: &EngineState) -> bool {
        let Some(range) = self.weight_versions else { return true };
        engine.weight_version(range.model).is_some_and(|version| range.contains(version))
    }

    fn slow_start_allows(&self, engine: &EngineState) -> bool {
        let (rate, router_count) = (self.cold_engine_rate, self.router_count);
        if rate <= 0.0 {
            return true;
        }
        if engine.cold_until <= self.now {
            return self.is_confirmed || engine.slow_start.allows_unconfirmed(rate, router_count, self.now);
        }
        let draw = self.engine_table.router_engine_hash(engine.id_hash);
        engine.slow_start.clone().allows(rate, router_count, draw, self.now)
    }

    /// Returns whether there is spare capacity beside interactive work: most decode engines are below a share of their
    /// slots, and most prefill engines, if there are any, are nearly idle.
    pub fn has_spare_capacity(&self, share: f64) -> bool {
        !self.candidates(Phase::Decode).is_empty()
            && self.is_majority_below(Phase::Decode, |engine| share * f64::from(engine.slots))
            && (!self.has_phase(Phase::Prefill) || self.is_majority_below(Phase::Prefill, |_| 1.0 + share))
    }

    /// Returns whether more than half of the candidates are warm and below a load limit; true if there are none.
    fn is_majority_below(&self, phase: Phase, limit: impl Fn(&EngineState) -> f64) -> bool {
        let candidates = self.candidates(phase);
        let is_below = |index: &usize| {
            let engine = &self.engine_table.engines[*index];
            engine.cold_until <= self.now && self.engine_table.estimated_load(*index, self.now) < limit(engine)
        };
        candidates.is_empty() || candidates.iter().filter(|index| is_below(index)).count() * 2 > candidates.len()
    }

    /// Returns whether every selectable decode engine has reached a share of its slots. A further request would queue
    /// at an engine, so one of low priority is better refused at once.
    pub fn is_saturated(&self, share: f64) -> bool {
        let candidates = self.candidates(Phase::Decode);
        let is_full = |index: &usize| {
            let engine = &self.engine_table.engines[*index];
            self.engine_table.estimated_load(*index, self.now) >= share * f64::from(engine.slots)
        };
        !candidates.is_empty() && candidates.iter().all(is_full)
    }
}
