//! Which version serves a request, and on which of its engines.

use load_balancing::{Arm, CandidatePlacement, PackingStart};
use protocol::version_rollout::RolloutState;
use versions::RolloutStage;

use crate::rollout::output_sizes::OutputSizes;
use crate::rollout::{KnownRollout, Rollouts};

/// How long a canary stays at the same engines: about as long as a response takes, so that they bear their load for most of
/// it.
const TURN_MS: u64 = 1200;

/// Thousandths of the requests that make a whole.
const SHARE_SCALE: u64 = 1000;

/// The part of the load that a load test makes in the end which it makes while it lasts: long requests add up.
const LOAD_TEST_BUILD_UP: f64 = 0.6;
/// How much more load a load test makes at first than it needs, so that engines fill up while it lasts.
const LOAD_TEST_SURPLUS: f64 = 2.5;

/// What the choice of a version depends on, beside the rollout.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Uniformly random bits.
    pub random: u64,
    /// The tokens that the request puts out at most.
    pub max_output_tokens: u32,
    /// How long it is expected to take, in milliseconds.
    pub expected_ms: u64,
    /// The known rollouts were confirmed a moment ago.
    pub holds_lease: bool,
    /// The share of the requests of its term that a faulty version may have.
    pub exposure_share: f64,
    /// The part of the stable version's load, in thousandths, that a load test needs.
    pub load_test_need: u32,
}

impl Rollouts {
    /// Returns the version that serves a request.
    pub fn select_variant(&self, service: u32, profile: &RequestProfile, now: u64) -> Arm {
        let Some(known) = self.by_service.get(&service) else { return Arm::Stable };
        match known.record.state {
            RolloutState::Active if profile.holds_lease => self.select_active(service, known, profile, now),
            // Its engines are listed as candidates until discovery has moved them to the stable ones.
            RolloutState::Complete => Arm::Candidate(CandidatePlacement::Spread),
            RolloutState::Active | RolloutState::Reverted => Arm::Stable,
        }
    }

    /// Returns the version that serves a request while a rollout is active.
    fn select_active(&self, service: u32, known: &KnownRollout, profile: &RequestProfile, now: u64) -> Arm {
        let share = known.record.share;
        let elapsed_ms = known.elapsed_ms(now);
        let draw = (profile.random / SHARE_SCALE) as u32;
        let is_drawn = |share: f64| ((profile.random % SHARE_SCALE) as f64) < share;
        match RolloutStage::of(share) {
            RolloutStage::Canary if is_drawn(share.into()) => {
                Arm::Candidate(CandidatePlacement::Rotating { share, draw, turn: turn_at(elapsed_ms) })
            }
            RolloutStage::LoadTest => {
                let sizes = self.output_sizes.get(&service).copied().unwrap_or_default();
                let share = load_test_share(share, &sizes, profile.load_test_need);
                if !is_drawn(share * sizes.relative_size(profile.max_output_tokens)) {
                    return Arm::Stable;
                }
                let load_share = (share * sizes.load_factor() * LOAD_TEST_BUILD_UP) as u32;
                let first = PackingStart {
                    canary_share: known.schedule(profile.exposure_share).canary_share(),
                    turn: turn_at(known.record.elapsed_ms),
                };
                Arm::Candidate(CandidatePlacement::Packed { load_share, draw, first })
            }
            RolloutStage::Full if known.schedule(profile.exposure_share).has_moved(elapsed_ms, profile.expected_ms) => {
                Arm::Candidate(CandidatePlacement::Spread)
            }
            RolloutStage::Canary | RolloutStage::Full => Arm::Stable,
        }
    }
}

/// Returns the turn of a canary.
fn turn_at(elapsed_ms: u64) -> u32 {
    (elapsed_ms / TURN_MS) as u32
}

/// Returns the share of the requests that a load test takes, in thousandths: `share`, or less where that is enough.
fn load_test_share(share: u32, sizes: &OutputSizes, need: u32) -> f64 {
    let needed = f64::from(need) * LOAD_TEST_SURPLUS / sizes.load_factor();
    f64::from(share).min(needed)
}
