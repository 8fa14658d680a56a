//! Selects the version that serves a request, and how the request is placed on its engines.

use load_balancing::{Arm, CandidatePlacement, PackingStart};
use protocol::version_rollout::RolloutState;
use versions::RolloutStage;

use crate::rollout::output_sizes::OutputSizes;
use crate::rollout::{KnownRollout, Rollouts};

/// How long a canary stays on the same engines, in milliseconds: about as long as a response takes, so that they carry
/// its load for most of the turn.
const TURN_MS: u64 = 1200;

/// Denominator of shares, which are given in thousandths of the requests.
const SHARE_SCALE: u64 = 1000;

/// The part of its eventual load that a load test reaches while it lasts, since long requests accumulate.
const LOAD_TEST_BUILD_UP: f64 = 0.6;
/// The factor by which a load test initially exceeds the load that it needs, so that engines fill up while it lasts.
const LOAD_TEST_SURPLUS: f64 = 2.5;

/// The inputs of the version choice besides the rollout.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Uniformly random bits.
    pub random: u64,
    /// The maximum number of output tokens of the request.
    pub max_output_tokens: u32,
    /// The expected duration of the request, in milliseconds.
    pub expected_ms: u64,
    /// Whether the router's lease is valid, so that the known rollouts count as confirmed.
    pub holds_lease: bool,
    /// The share of the requests during the rollout that a faulty version may get, 0 to 1.
    pub exposure_share: f64,
    /// The part of the stable version's load that a load test needs, in thousandths.
    pub load_test_need: u32,
}

impl Rollouts {
    /// Returns the version that serves a request.
    pub fn select_variant(&self, service: u32, profile: &RequestProfile, now: u64) -> Arm {
        let Some(known) = self.by_service.get(&service) else { return Arm::Stable };
        match known.record.state {
            RolloutState::Active if profile.holds_lease => self.select_active(service, known, profile, now),
            // Its engines are listed as candidates until discovery has moved them to the stable version.
            RolloutState::Complete => Arm::Candidate(CandidatePlacement::Spread),
            RolloutState::Active | RolloutState::Reverted => Arm::Stable,
        }
    }

    /// Returns whether a request for which the new version was chosen may still be sent to it: not after the rollout was
    /// reverted, and while it is active only with a lease.
    pub fn permits_candidate(&self, service: u32, holds_lease: bool) -> bool {
        self.by_service.get(&service).is_some_and(|known| match known.record.state {
            RolloutState::Active => holds_lease,
            RolloutState::Complete => true,
            RolloutState::Reverted => false,
        })
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

/// Returns the turn number of a canary, by which its engines rotate.
fn turn_at(elapsed_ms: u64) -> u32 {
    (elapsed_ms / TURN_MS) as u32
}

/// Returns the share of the requests that a load test takes, in thousandths: at most `share`, less if that is enough.
fn load_test_share(share: u32, sizes: &OutputSizes, need: u32) -> f64 {
    let needed = f64::from(need) * LOAD_TEST_SURPLUS / sizes.load_factor();
    f64::from(share).min(needed)
}
