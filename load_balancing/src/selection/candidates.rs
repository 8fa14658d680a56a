//! The engines that a choice looks at.

use super::{Arm, SelectionContext};
use crate::engine_state::EngineState;
use crate::phase::Phase;
use crate::subset::Subset;

impl SelectionContext<'_> {
    pub(super) fn subset(&self, phase: Phase) -> Option<&Subset> {
        self.engine_table.subset(self.service, phase, self.arm.is_candidate())
    }

    /// Of a version that is brought in, only some engines are used.
    fn is_in_candidate_share(&self, at: usize, phase: Phase) -> bool {
        match self.arm {
            Arm::Stable => true,
            Arm::Candidate(share) => self.subset(phase).is_some_and(|subset| subset.leading_share(share).contains(&at)),
        }
    }

    /// Has each phase that the service has an engine that can be sent to?
    pub fn is_usable(&self) -> bool {
        !self.candidates(Phase::Decode).is_empty()
            && (!self.has_phase(Phase::Prefill) || !self.candidates(Phase::Prefill).is_empty())
    }

    fn is_eligible(&self, at: usize, engine: &EngineState, phase: Phase) -> bool {
        let part = match phase {
            Phase::Prefill => engine.prefill,
            Phase::Decode => engine.decode,
        };
        engine.service == self.service
            && part
            && engine.candidate == self.arm.is_candidate()
            && self.is_in_candidate_share(at, phase)
            && engine.up
            && engine.listed
            && engine.reassigning_until <= self.now
            && !self.excluded_zones.contains(&engine.zone)
            && !self.tried_engines.contains(&at)
            && self
                .weight_versions
                .is_none_or(|range| engine.weight_version(range.model).is_some_and(|version| range.contains(version)))
    }

    fn slow_start_allows(&self, engine: &EngineState) -> bool {
        if self.cold_engine_rate <= 0.0 {
            return true;
        }
        if engine.cold_until <= self.now {
            return self.is_confirmed
                || engine.slow_start.allows_unconfirmed(self.cold_engine_rate, self.router_count, self.now);
        }
        engine.slow_start.clone().allows(
            self.cold_engine_rate,
            self.router_count,
            self.engine_table.router_engine_hash(engine.id_hash),
            self.now,
        )
    }

    /// How good an engine is to be sent to now. None: not at all; then one in doubt, one that was full a
    /// moment ago, one without a flaw.
    pub(super) fn rating(&self, at: usize, phase: Phase) -> Option<u8> {
        let engine = self.engine_table.engines.get(at)?;
        if !self.is_eligible(at, engine, phase) || !self.slow_start_allows(engine) {
            return None;
        }
        if engine.suspected_until > self.now {
            return Some(0);
        }
        Some(1 + u8::from(engine.saturated_until <= self.now))
    }

    /// The best of a list, all of one rating.
    fn best_rated(&self, list: impl Iterator<Item = usize>, phase: Phase) -> (u8, Vec<usize>) {
        let (mut top, mut found) = (0, Vec::new());
        for at in list {
            let Some(rating) = self.rating(at, phase) else { continue };
            if rating > top {
                found.clear();
                top = rating;
            }
            if rating == top {
                found.push(at);
            }
        }
        (top, found)
    }

    /// The engines that a choice looks at: this router's subset. Only when nothing in it will do, all are
    /// looked at.
    pub fn candidates(&self, phase: Phase) -> Vec<usize> {
        let Some(subset) = self.subset(phase) else { return Vec::new() };
        let (top, found) = self.best_rated(subset.sampled.iter().copied(), phase);
        if top > 0 {
            return found;
        }
        self.best_rated(subset.engines.iter().copied(), phase).1
    }

    /// Is there room beside interactive work: makers under a share of their slots, and readers, where
    /// there are any, with next to nothing to read?
    pub fn has_spare_capacity(&self, share: f64) -> bool {
        let calm = |phase: Phase, bound: &dyn Fn(&EngineState) -> f64| {
            let candidates = self.candidates(phase);
            let fits = |at: &usize| {
                let engine = &self.engine_table.engines[*at];
                engine.cold_until <= self.now && self.engine_table.estimated_load(*at, self.now) < bound(engine)
            };
            candidates.is_empty() || candidates.iter().filter(|at| fits(at)).count() * 2 > candidates.len()
        };
        !self.candidates(Phase::Decode).is_empty()
            && calm(Phase::Decode, &|engine| share * f64::from(engine.slots))
            && (!self.has_phase(Phase::Prefill) || calm(Phase::Prefill, &|_| 1.0 + share))
    }

    /// Is every maker that may be sent to at or over a share of its slots? Then what is sent now waits
    /// at an engine, and what ranks lower is better told at once.
    pub fn is_saturated(&self, share: f64) -> bool {
        let candidates = self.candidates(Phase::Decode);
        let over = |at: &usize| {
            let engine = &self.engine_table.engines[*at];
            self.engine_table.estimated_load(*at, self.now) >= share * f64::from(engine.slots)
        };
        !candidates.is_empty() && candidates.iter().all(over)
    }

    /// Does the service have engines of this phase at all, reachable or not?
    pub fn has_phase(&self, phase: Phase) -> bool {
        self.subset(phase).is_some_and(|subset| !subset.engines.is_empty())
    }
}
