//! The engines that a selection looks at.

use super::SelectionContext;
use crate::engine_state::EngineState;
use crate::phase::Phase;
use crate::subset::Subset;

/// How good an engine that may be sent to is now; a better one is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rating {
    /// It is suspected to be down.
    Suspected,
    /// It turned a request away a moment ago.
    RecentlySaturated,
    /// Nothing speaks against it.
    Good,
}

impl SelectionContext<'_> {
    pub(super) fn subset(&self, phase: Phase) -> Option<&Subset> {
        self.engine_table.subset(self.service, phase, self.arm.is_candidate())
    }

    /// Returns whether the service has engines of a phase at all, reachable or not.
    pub fn has_phase(&self, phase: Phase) -> bool {
        self.subset(phase).is_some_and(|subset| !subset.engines.is_empty())
    }

    /// Returns whether each phase that the service has has an engine that can be sent to.
    pub fn is_usable(&self) -> bool {
        !self.candidates(Phase::Decode).is_empty()
            && (!self.has_phase(Phase::Prefill) || !self.candidates(Phase::Prefill).is_empty())
    }

    /// Returns the indices of the engines that a selection looks at: the best rated of this router's subset. Only when
    /// that has none but suspected ones are all engines looked at.
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
        for at in engines {
            let Some(rating) = self.rating(*at, phase) else { continue };
            if Some(rating) > best {
                found.clear();
                best = Some(rating);
            }
            if Some(rating) == best {
                found.push(*at);
            }
        }
        (best, found)
    }

    /// Returns how good an engine is to be sent to now. `None`: not at all.
    pub(super) fn rating(&self, at: usize, phase: Phase) -> Option<Rating> {
        let engine = self.engine_table.engines.get(at)?;
        if !self.is_eligible(at, engine, phase) || !self.slow_start_allows(engine) {
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

    fn is_eligible(&self, at: usize, engine: &EngineState, phase: Phase) -> bool {
        let serves_phase = match phase {
            Phase::Prefill => engine.prefill,
            Phase::Decode => engine.decode,
        };
        engine.service == self.service
            && serves_phase
            && engine.candidate == self.arm.is_candidate()
            && engine.up
            && engine.listed
            && engine.reassigning_until <= self.now
            && !self.excluded_zones.contains(&engine.zone)
            && !self.tried_engines.contains(&at)
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

    /// Returns whether there is room beside interactive work: most decode engines are under a share of their slots, and
    /// most prefill engines, where there are any, have next to nothing to read.
    pub fn has_spare_capacity(&self, share: f64) -> bool {
        !self.candidates(Phase::Decode).is_empty()
            && self.are_most_below(Phase::Decode, |engine| share * f64::from(engine.slots))
            && (!self.has_phase(Phase::Prefill) || self.are_most_below(Phase::Prefill, |_| 1.0 + share))
    }

    /// Returns whether more than half of the candidates, if there are any, are warm and below a bound on their load.
    fn are_most_below(&self, phase: Phase, bound: impl Fn(&EngineState) -> f64) -> bool {
        let candidates = self.candidates(phase);
        let is_below = |at: &usize| {
            let engine = &self.engine_table.engines[*at];
            engine.cold_until <= self.now && self.engine_table.estimated_load(*at, self.now) < bound(engine)
        };
        candidates.is_empty() || candidates.iter().filter(|at| is_below(at)).count() * 2 > candidates.len()
    }

    /// Returns whether every decode engine that may be sent to is at or over a share of its slots. What is sent then waits
    /// at an engine, so a request of low rank is better refused at once.
    pub fn is_saturated(&self, share: f64) -> bool {
        let candidates = self.candidates(Phase::Decode);
        let is_over = |at: &usize| {
            let engine = &self.engine_table.engines[*at];
            self.engine_table.estimated_load(*at, self.now) >= share * f64::from(engine.slots)
        };
        !candidates.is_empty() && candidates.iter().all(is_over)
    }
}
