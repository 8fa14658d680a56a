//! Places the requests of a candidate version while it gets only a share of them: over as many decode engines as the
//! stable version needs for that share, or over as few as can serve it.

use super::candidates::Rating;
use super::{Arm, CandidatePlacement, PackingStart, SelectionContext};
use crate::engine_state::EngineState;
use crate::phase::Phase;

/// The target share of slots in use at a packed engine.
const TARGET_SLOT_SHARE: f64 = 0.65;
/// The share of slots in use at which a packed engine is skipped.
const MAX_SLOT_SHARE: f64 = 0.9;
/// The maximum number of packed engines: more would not fill up within a load test.
const MAX_PACKED_ENGINES: f64 = 3.0;
/// The load that a load test takes, in full engines: more than the number of packed engines, so that these fill up.
const LOAD_TEST_ENGINES: f64 = 4.0;
/// A share of 1, in thousandths.
const SHARE_SCALE: u32 = 1000;

impl SelectionContext<'_> {
    /// Returns the engine for a request while its version gets only a share of the requests. `None` means that the
    /// usual selection applies, because the request may go to any engine or no engine of the placement can take it.
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
                let engines_needed = self.packed_load(first, load_share) / engine_load;
                turn_position(self.rotating_count(canary_share), turn)
                    + drawn_position(engines_needed.clamp(1.0, MAX_PACKED_ENGINES), draw)
            }
        };
        let from_position = ordered.iter().cycle().skip(position % ordered.len()).take(ordered.len());
        from_position.copied().find(|index| self.can_be_placed(*index))
    }

    /// Returns the number of engines, possibly fractional, that a canary uses in each turn.
    fn rotating_count(&self, share: u32) -> f64 {
        (self.stable_engine_count() * fraction(share)).max(1.0)
    }

    fn stable_engine_count(&self) -> f64 {
        let stable = self.engine_table.subset(self.service, Phase::Decode, false);
        stable.map_or(0.0, |subset| subset.engines.len() as f64)
    }

    /// Returns the number of concurrent requests that the candidate's share amounts to, based on the stable version's
    /// load before the share moved. Once that load has fallen the result is too low, and the packed engines fill up
    /// further; full ones are skipped.
    fn packed_load(&self, engine: &EngineState, load_share: u32) -> f64 {
        self.engine_table.stable_decode_load(engine) * fraction(load_share)
    }

    /// Returns the part of the stable version's load, in thousandths, that a load test needs to fill its engines.
    pub fn load_test_need(&self) -> u32 {
        let engines = self.subset(Phase::Decode).map(|subset| &subset.engines[..]).unwrap_or_default();
        let Some(engine) = engines.first().map(|index| &self.engine_table.engines[*index]) else { return SHARE_SCALE };
        let needed = LOAD_TEST_ENGINES * TARGET_SLOT_SHARE * f64::from(engine.slots);
        let load = self.engine_table.stable_decode_load(engine).max(1.0);
        (f64::from(SHARE_SCALE) * needed / load).min(f64::from(SHARE_SCALE)) as u32
    }

    fn can_be_placed(&self, index: usize) -> bool {
        let slots = f64::from(self.engine_table.engines[index].slots);
        self.rating(index, Phase::Decode) == Some(Rating::Good)
            && self.engine_table.estimated_load(index, self.now) < MAX_SLOT_SHARE * slots
    }
}

/// Converts a share in thousandths to a fraction of 1.
fn fraction(share: u32) -> f64 {
    f64::from(share) / f64::from(SHARE_SCALE)
}

/// Returns the position of the first engine of a turn.
fn turn_position(count: f64, turn: u32) -> usize {
    turn as usize * count.ceil() as usize
}

/// Returns which of `count` engines a random draw selects. If `count` is not an integer, the last engine gets a
/// proportionally smaller share.
fn drawn_position(count: f64, draw: u32) -> usize {
    (count * f64::from(draw) / (f64::from(u32::MAX) + 1.0)) as usize
}

#[cfg(test)]
#[path = "packing_tests.rs"]
mod tests;
