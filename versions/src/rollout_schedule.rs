//! Schedule of the share of a service's requests that the candidate gets.
//!
//! A rollout has three stages. In the canary stage the candidate gets a small share, spread over all of its engines,
//! for as long as the duration of the rollout allows. In the load test it gets a larger share, and a few of its engines
//! are loaded to capacity. In the last stage it gets each request that would not end at the stable version before the
//! rollout is declared complete. A rollout always ends within its duration: a candidate that is not found healthy in
//! time is rolled back.
//!
//! Until the last stage, the requests that a faulty candidate gets, including those until a verdict takes effect, stay
//! within the allowed share by construction. [`RolloutSchedule::exposure_ms`] returns that bound.

use crate::Verdict;

/// The share that stands for all requests, in thousandths.
pub const FULL_SHARE: u32 = 1000;
/// Maximum share of the canary stage, in thousandths. A larger share is a load test.
pub const MAX_CANARY_SHARE: u32 = 100;
/// Maximum share of the load test, in thousandths.
const MAX_LOAD_TEST_SHARE: u32 = 300;

/// Part of the allowed exposure share that the canary stage uses.
const CANARY_EXPOSURE_PART: f64 = 0.4;
/// Minimum length of the load test, in milliseconds: engines need it to fill their slots and to show the effect.
const LOAD_TEST_MS: u64 = 1300;
/// Maximum extension of the load test, in milliseconds, if the candidate is not yet found healthy under load.
const MAX_LOAD_TEST_EXTENSION_MS: u64 = 800;
/// Time from the start of a fault, at the load test's share, until no router sends to the candidate any more, in
/// milliseconds: samples are reported, pooled and analysed, and the rollback is committed and delivered.
const REACTION_MS: u64 = 500;
/// Grace period after the canary stage for a candidate that is not yet found healthy, in milliseconds.
const VERDICT_GRACE_MS: u64 = 400;
/// Maximum planned length of the last stage, in milliseconds.
const MAX_FULL_SHARE_MS: u64 = 3000;
/// The planned length of the last stage is at most the duration divided by this.
const FULL_SHARE_DIVISOR: u64 = 4;
/// Minimum length of the last stage before the rollout is declared complete, in milliseconds.
const MIN_FULL_SHARE_MS: u64 = 1200;
/// Time before the end of its duration at which a rollout is declared complete, in milliseconds.
const COMPLETION_MARGIN_MS: u64 = 300;
/// Time before completion from which a rollout counts as ending soon, in milliseconds. Longer than the polling interval
/// of operators.
const END_NOTICE_MS: u64 = 550;
/// Time before the end of its duration at which a rollout is rolled back unless the candidate is healthy, in
/// milliseconds.
const ROLLBACK_MARGIN_MS: u64 = 100;

/// Stage of a rollout, which follows from the candidate's share of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStage {
    /// A small share, spread over all engines of the candidate.
    Canary,
    /// A larger share, concentrated on a few engines.
    LoadTest,
    /// All requests. Each moves only once it would not end at the stable version in time.
    Full,
}

impl RolloutStage {
    /// Returns the stage for a share in thousandths.
    pub fn of(share: u32) -> RolloutStage {
        match share {
            0..=MAX_CANARY_SHARE => RolloutStage::Canary,
            FULL_SHARE.. => RolloutStage::Full,
            _ => RolloutStage::LoadTest,
        }
    }
}

/// The next step of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Nothing changes.
    Hold,
    /// The candidate gets this share of the requests, in thousandths.
    SetShare(u32),
    /// All requests go to the candidate, which replaces the stable version.
    Complete,
    /// All requests go back to the stable version permanently.
    RollBack,
}

/// The schedule of one rollout.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSchedule {
    /// Time from its start by which the rollout must be complete or rolled back, in milliseconds.
    pub duration_ms: u64,
    /// The share of the requests over the duration that a faulty version may get, 0 to 1.
    pub exposure_share: f64,
}

impl RolloutSchedule {
    /// Returns when the canary stage ends, in milliseconds after the start.
    pub fn canary_ms(&self) -> u64 {
        self.duration_ms.saturating_sub(LOAD_TEST_MS + self.full_share_ms() + COMPLETION_MARGIN_MS)
    }

    /// Returns the planned length of the last stage, in milliseconds.
    fn full_share_ms(&self) -> u64 {
        (self.duration_ms / FULL_SHARE_DIVISOR).min(MAX_FULL_SHARE_MS)
    }

    /// Returns whether a request that begins now and is expected to take `expected_ms` goes to the candidate in the
    /// last stage, because the stable version's engines may stop before it ends: they stop when the rollout is
    /// complete.
    pub fn has_moved(&self, elapsed_ms: u64, expected_ms: u64) -> bool {
        elapsed_ms + expected_ms + COMPLETION_MARGIN_MS >= self.duration_ms
    }

    /// Returns whether a rollout in its last stage is about to end.
    pub fn ends_soon(&self, elapsed_ms: u64) -> bool {
        elapsed_ms < self.duration_ms && elapsed_ms + COMPLETION_MARGIN_MS + END_NOTICE_MS >= self.duration_ms
    }

    /// Returns the share of the canary stage, in thousandths.
    pub fn canary_share(&self) -> u32 {
        let share = self.exposure_share * CANARY_EXPOSURE_PART * f64::from(FULL_SHARE);
        (share as u32).clamp(1, MAX_CANARY_SHARE)
    }

    /// Returns the share of the load test, in thousandths: it spreads the exposure that the canary leaves over the time
    /// until a verdict takes effect.
    pub fn load_test_share(&self) -> u32 {
        let share = f64::from(FULL_SHARE) * self.remaining_exposure_ms() / (LOAD_TEST_MS + REACTION_MS) as f64;
        (share as u32).clamp(MAX_CANARY_SHARE + 1, MAX_LOAD_TEST_SHARE)
    }

    /// Returns the maximum exposure to a faulty version before the last stage, in milliseconds of the full share.
    pub fn exposure_ms(&self) -> f64 {
        let load_test_ms = LOAD_TEST_MS + self.load_test_extension_ms() + REACTION_MS;
        self.canary_exposure_ms() + load_test_ms as f64 * share_fraction(self.load_test_share())
    }

    /// Returns the exposure allowed over the whole duration less that of the canary stage, in milliseconds of the full
    /// share.
    fn remaining_exposure_ms(&self) -> f64 {
        (self.exposure_share * self.duration_ms as f64 - self.canary_exposure_ms()).max(0.0)
    }

    /// Returns the maximum exposure of the canary stage, in milliseconds of the full share.
    fn canary_exposure_ms(&self) -> f64 {
        (self.canary_ms() + VERDICT_GRACE_MS) as f64 * share_fraction(self.canary_share())
    }

    /// Returns how much longer the load test may last if the candidate is not yet found healthy under load, in
    /// milliseconds.
    fn load_test_extension_ms(&self) -> u64 {
        let affordable_ms = self.remaining_exposure_ms() / share_fraction(self.load_test_share());
        (affordable_ms as u64).saturating_sub(LOAD_TEST_MS + REACTION_MS).min(MAX_LOAD_TEST_EXTENSION_MS)
    }

    /// Returns the next step, which may be to hold.
    ///
    /// `share` is the candidate's current share in thousandths, `time_at_share_ms` the time since it was set,
    /// `elapsed_ms` the time since the start of the rollout.
    pub fn next_step(&self, share: u32, time_at_share_ms: u64, elapsed_ms: u64, verdict: Verdict) -> RolloutStep {
        if verdict.is_alarm() {
            return RolloutStep::RollBack;
        }
        match RolloutStage::of(share) {
            RolloutStage::Canary => self.canary_step(share, elapsed_ms, verdict),
            RolloutStage::LoadTest => self.load_test_step(time_at_share_ms, verdict),
            RolloutStage::Full => self.full_share_step(time_at_share_ms, elapsed_ms, verdict),
        }
    }

    fn canary_step(&self, share: u32, elapsed_ms: u64, verdict: Verdict) -> RolloutStep {
        if elapsed_ms < self.canary_ms() {
            return if share == 0 { RolloutStep::SetShare(self.canary_share()) } else { RolloutStep::Hold };
        }
        match verdict {
            _ if verdict.is_healthy() => RolloutStep::SetShare(self.load_test_share()),
            _ if elapsed_ms >= self.canary_ms() + VERDICT_GRACE_MS => RolloutStep::RollBack,
            _ => RolloutStep::Hold,
        }
    }

    fn load_test_step(&self, time_at_share_ms: u64, verdict: Verdict) -> RolloutStep {
        match verdict {
            _ if time_at_share_ms < LOAD_TEST_MS => RolloutStep::Hold,
            Verdict::HealthyUnderLoad => RolloutStep::SetShare(FULL_SHARE),
            _ if time_at_share_ms >= LOAD_TEST_MS + self.load_test_extension_ms() => RolloutStep::RollBack,
            _ => RolloutStep::Hold,
        }
    }

    fn full_share_step(&self, time_at_share_ms: u64, elapsed_ms: u64, verdict: Verdict) -> RolloutStep {
        let is_due = elapsed_ms + COMPLETION_MARGIN_MS >= self.duration_ms && time_at_share_ms >= MIN_FULL_SHARE_MS;
        let must_roll_back = elapsed_ms + ROLLBACK_MARGIN_MS >= self.duration_ms;
        match is_due {
            true if verdict.is_healthy() => RolloutStep::Complete,
            true if must_roll_back => RolloutStep::RollBack,
            _ => RolloutStep::Hold,
        }
    }
}

/// Returns a share in thousandths as a fraction, 0 to 1.
fn share_fraction(share: u32) -> f64 {
    f64::from(share) / f64::from(FULL_SHARE)
}

#[cfg(test)]
#[path = "rollout_schedule_tests.rs"]
mod tests;
