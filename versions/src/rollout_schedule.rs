//! Which share of a service's requests the candidate gets at which time.
//!
//! A rollout has three stages. In the canary the candidate gets a small share, spread over all of its engines, for as long as
//! completing in time allows. In the load test it gets a larger share, and few of its engines get as many requests as they bear.
//! Then it gets each request that would not end at the stable version before the rollout is declared complete. It ends within its duration in either case: a candidate that is
//! not found healthy in time is rolled back.
//!
//! Until the candidate gets all requests, what it had plus what it gets until a verdict acts stays within the share of requests
//! that a faulty version may have, by arithmetic. [`RolloutSchedule::exposure_ms`] is that bound.

use crate::Verdict;

/// Share that is all requests, in thousandths.
pub const FULL_SHARE: u32 = 1000;
/// Highest share of a canary, in thousandths. A higher one is a load test.
pub const MAX_CANARY_SHARE: u32 = 100;
/// Highest share of a load test, in thousandths.
const MAX_LOAD_TEST_SHARE: u32 = 300;

/// Part of the share that a faulty version may have which the canary takes.
const CANARY_PART: f64 = 0.4;
/// How long the load test lasts: as long as engines take to fill their slots and to show what that does.
const LOAD_TEST_MS: u64 = 1300;
/// How much longer it may last where the candidate is not proved to be healthy under load.
const MAX_EXTENSION_MS: u64 = 800;
/// How long after a fault began, with this share of the requests, no router sends to the candidate any more: samples are
/// reported, pooled and judged, and the record is committed and delivered.
const REACTION_MS: u64 = 500;
/// How long a candidate that is not found healthy at the end of the canary may take to become so.
const VERDICT_GRACE_MS: u64 = 400;
/// How long the last stage is planned to last at most. In it the candidate gets each request that would not end at the stable version
/// before the rollout is complete.
const MAX_FULL_SHARE_MS: u64 = 3000;
/// The part of the duration, one in so many, that it is planned to last where that is less.
const FULL_SHARE_PART: u64 = 4;
/// How long it lasts at least before the rollout is declared complete.
const MIN_FULL_SHARE_MS: u64 = 1200;
/// How long before its duration ends a rollout is declared complete.
const COMPLETION_MARGIN_MS: u64 = 300;
/// How long before that it counts as ending soon: longer than operators who watch it pause between two questions.
const END_NOTICE_MS: u64 = 550;
/// How long before its duration ends a rollout is rolled back that something speaks against.
const LAST_CHANCE_MS: u64 = 100;

/// What a share of the requests is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStage {
    /// A small share, spread over all engines of the candidate.
    Canary,
    /// A larger share, on few engines.
    LoadTest,
    /// All requests, each no earlier than its length needs.
    Full,
}

impl RolloutStage {
    /// Returns the stage of a share in thousandths.
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
    /// All requests have moved: the candidate replaces the stable version.
    Complete,
    /// All requests go back to the stable version, for good.
    RollBack,
}

/// The schedule of one rollout.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSchedule {
    /// Milliseconds after its start by which the rollout must be complete or rolled back.
    pub duration_ms: u64,
    /// The share of the requests of that time that a faulty version may have, 0 to 1.
    pub exposure_share: f64,
}

impl RolloutSchedule {
    /// Returns when the canary stage ends, in milliseconds after the start.
    pub fn canary_ms(&self) -> u64 {
        self.duration_ms.saturating_sub(LOAD_TEST_MS + self.full_share_ms() + COMPLETION_MARGIN_MS)
    }

    /// Returns how long the last stage is planned to last, in milliseconds.
    fn full_share_ms(&self) -> u64 {
        (self.duration_ms / FULL_SHARE_PART).min(MAX_FULL_SHARE_MS)
    }

    /// Returns whether a request that begins now, and is expected to take so long, goes to the candidate in the last stage: the
    /// stable version's engines stop when the rollout is complete.
    pub fn has_moved(&self, elapsed_ms: u64, expected_ms: u64) -> bool {
        elapsed_ms + expected_ms + COMPLETION_MARGIN_MS >= self.duration_ms
    }

    /// Returns whether the end of a rollout in its last stage is due in a moment.
    pub fn ends_soon(&self, elapsed_ms: u64) -> bool {
        elapsed_ms < self.duration_ms && elapsed_ms + COMPLETION_MARGIN_MS + END_NOTICE_MS >= self.duration_ms
    }

    /// Returns the share of the canary, in thousandths.
    pub fn canary_share(&self) -> u32 {
        let share = self.exposure_share * CANARY_PART * f64::from(FULL_SHARE);
        (share as u32).clamp(1, MAX_CANARY_SHARE)
    }

    /// Returns the share of the load test, in thousandths: what the canary left, spent until a verdict acts.
    pub fn load_test_share(&self) -> u32 {
        let share = f64::from(FULL_SHARE) * self.unspent_ms() / (LOAD_TEST_MS + REACTION_MS) as f64;
        (share as u32).clamp(MAX_CANARY_SHARE + 1, MAX_LOAD_TEST_SHARE)
    }

    /// Returns the most that a faulty version gets before it has all requests: in milliseconds during which it would have had all
    /// of them.
    pub fn exposure_ms(&self) -> f64 {
        let load_test_ms = LOAD_TEST_MS + self.extension_ms() + REACTION_MS;
        self.canary_exposure_ms() + load_test_ms as f64 * share_of_all(self.load_test_share())
    }

    /// Returns how much of the exposure allowed over the whole duration the canary leaves.
    fn unspent_ms(&self) -> f64 {
        (self.exposure_share * self.duration_ms as f64 - self.canary_exposure_ms()).max(0.0)
    }

    fn canary_exposure_ms(&self) -> f64 {
        (self.canary_ms() + VERDICT_GRACE_MS) as f64 * share_of_all(self.canary_share())
    }

    /// Returns how much longer the load test may last where the candidate is not proved to be healthy under load.
    fn extension_ms(&self) -> u64 {
        let affordable_ms = self.unspent_ms() / share_of_all(self.load_test_share());
        (affordable_ms as u64).saturating_sub(LOAD_TEST_MS + REACTION_MS).min(MAX_EXTENSION_MS)
    }

    /// Returns the step that is due.
    ///
    /// `share` is the candidate's current share in thousandths, `share_for_ms` how long it has had it, `elapsed_ms` the time
    /// since the start of the rollout.
    pub fn next_step(&self, share: u32, share_for_ms: u64, elapsed_ms: u64, verdict: Verdict) -> RolloutStep {
        if verdict.is_alarm() {
            return RolloutStep::RollBack;
        }
        match RolloutStage::of(share) {
            RolloutStage::Canary => self.after_canary(share, elapsed_ms, verdict),
            RolloutStage::LoadTest => self.after_load_test(share_for_ms, verdict),
            RolloutStage::Full => self.after_full_share(share_for_ms, elapsed_ms, verdict),
        }
    }

    fn after_canary(&self, share: u32, elapsed_ms: u64, verdict: Verdict) -> RolloutStep {
        if elapsed_ms < self.canary_ms() {
            return if share == 0 { RolloutStep::SetShare(self.canary_share()) } else { RolloutStep::Hold };
        }
        match verdict {
            _ if verdict.is_healthy() => RolloutStep::SetShare(self.load_test_share()),
            _ if elapsed_ms >= self.canary_ms() + VERDICT_GRACE_MS => RolloutStep::RollBack,
            _ => RolloutStep::Hold,
        }
    }

    fn after_load_test(&self, share_for_ms: u64, verdict: Verdict) -> RolloutStep {
        match verdict {
            _ if share_for_ms < LOAD_TEST_MS => RolloutStep::Hold,
            Verdict::HealthyUnderLoad => RolloutStep::SetShare(FULL_SHARE),
            _ if share_for_ms >= LOAD_TEST_MS + self.extension_ms() => RolloutStep::RollBack,
            _ => RolloutStep::Hold,
        }
    }

    fn after_full_share(&self, share_for_ms: u64, elapsed_ms: u64, verdict: Verdict) -> RolloutStep {
        let is_due = elapsed_ms + COMPLETION_MARGIN_MS >= self.duration_ms && share_for_ms >= MIN_FULL_SHARE_MS;
        let is_last_chance = elapsed_ms + LAST_CHANCE_MS >= self.duration_ms;
        match is_due {
            true if verdict.is_healthy() => RolloutStep::Complete,
            true if is_last_chance => RolloutStep::RollBack,
            _ => RolloutStep::Hold,
        }
    }
}

/// Returns a share in thousandths as a part of 1.
fn share_of_all(share: u32) -> f64 {
    f64::from(share) / f64::from(FULL_SHARE)
}

#[cfg(test)]
#[path = "rollout_schedule_tests.rs"]
mod tests;
