//! The decode engines that requests to a version under rollout go to while it has a part of them: as many as the version in place
//! needs for that part, or as few as take it.

use super::candidates::Rating;
use super::{Arm, CandidatePlacement, PackingStart, SelectionContext};
use crate::engine_state::EngineState;
use crate::phase::Phase;

/// The share of its slots that a packed engine is to have taken.
const TARGET_SLOT_SHARE: f64 = 0.65;
/// The share of its slots from which on a packed engine is passed over.
const MAX_SLOT_SHARE: f64 = 0.9;
/// How many engines are packed at most: more would not fill up while a load test lasts.
const MAX_PACKED_ENGINES: f64 = 3.0;
/// How many engines' load a load test takes: that of more than are packed, so that these fill up.
const LOAD_TEST_ENGINES: f64 = 4.0;
/// A whole, in thousandths.
const WHOLE: u32 = 1000;

impl SelectionContext<'_> {
    /// Returns the engine that a request goes to while its version has a part of the requests. `None`: the choice is as usual,
    /// since the request may go to any engine, or none of these can take it.
    pub(super) fn placed_engine(&self, phase: Phase) -> Option<usize> {
        let Arm::Candidate(placement) = self.arm else { return None };
        if phase != Phase::Decode {
            return None;
        }
        let ordered: Vec<usize> = self.subset(phase)?.ordered().collect();
        let first = self.engine_table.engines.get(*ordered.first()?)?;
        let position = match placement {
            CandidatePlacement::Spread => return None,
            CandidatePlacement::Rotating { share, draw, turn } => {
                let count = self.rotating_count(share);
                turn_position(count, turn) + drawn_position(count, draw)
            }
            CandidatePlacement::Packed { load_share, draw, first: PackingStart { canary_share, turn } } => {
                let engine_load = TARGET_SLOT_SHARE * f64::from(first.slots.max(1));
                let filled = self.packed_load(first, load_share) / engine_load;
                turn_position(self.rotating_count(canary_share), turn)
                    + drawn_position(filled.clamp(1.0, MAX_PACKED_ENGINES), draw)
            }
        };
        let from_position = ordered.iter().cycle().skip(position % ordered.len()).take(ordered.len());
        from_position.copied().find(|at| self.can_be_placed(*at))
    }

    /// Returns to how many engines a canary goes at a time.
    fn rotating_count(&self, share: u32) -> f64 {
        (self.stable_engine_count() * part(share)).max(1.0)
    }

    fn stable_engine_count(&self) -> f64 {
        let stable = self.engine_table.subset(self.service, Phase::Decode, false);
        stable.map_or(0.0, |subset| subset.engines.len() as f64)
    }

    /// Returns how many requests the candidate's share is at a time, from what the stable version ran before the share moved. Once
    /// that has fallen the figure is too low, and the packed engines fill up further; they are passed over when they are full.
    fn packed_load(&self, engine: &EngineState, load_share: u32) -> f64 {
        self.engine_table.stable_decode_load(engine) * part(load_share)
    }

    /// Returns the part of the stable version's load, in thousandths, that fills as many engines of the candidate as a load test
    /// needs.
    pub fn load_test_need(&self) -> u32 {
        let engines = self.subset(Phase::Decode).map(|subset| &subset.engines[..]).unwrap_or_default();
        let Some(engine) = engines.first().map(|at| &self.engine_table.engines[*at]) else { return WHOLE };
        let needed = LOAD_TEST_ENGINES * TARGET_SLOT_SHARE * f64::from(engine.slots);
        let load = self.engine_table.stable_decode_load(engine).max(1.0);
        (f64::from(WHOLE) * needed / load).min(f64::from(WHOLE)) as u32
    }

    fn can_be_placed(&self, at: usize) -> bool {
        let slots = f64::from(self.engine_table.engines[at].slots);
        self.rating(at, Phase::Decode) == Some(Rating::Good)
            && self.engine_table.estimated_load(at, self.now) < MAX_SLOT_SHARE * slots
    }
}

/// Returns a share in thousandths as a part of 1.
fn part(share: u32) -> f64 {
    f64::from(share) / f64::from(WHOLE)
}

/// Returns where the engines of a turn begin.
fn turn_position(count: f64, turn: u32) -> usize {
    turn as usize * count.ceil() as usize
}

/// Returns which of `count` engines a draw falls on; the last one gets a part of what the others get where `count` is no whole
/// number.
fn drawn_position(count: f64, draw: u32) -> usize {
    (count * f64::from(draw) / (f64::from(u32::MAX) + 1.0)) as usize
}

#[cfg(test)]
#[path = "packing_tests.rs"]
mod tests;
