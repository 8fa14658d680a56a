//! Which share of a service's requests the candidate gets at which time.
//!
//! A rollout has three stages: the canary with a small share, a short halfway stage, and all requests until the rollout is
//! declared complete. It ends within its duration in either case: a candidate that is not found healthy in time is rolled back.

use crate::Verdict;

/// Share of the requests, in thousandths, that a canary gets. Below a tenth by what chance and late updates may add.
pub const CANARY_SHARE: u32 = 70;
/// Share of the halfway stage, in thousandths: the candidate's engines must fill their prefix caches before they get all.
const HALFWAY_SHARE: u32 = 400;
/// Share that is all requests, in thousandths.
pub const FULL_SHARE: u32 = 1000;

/// Share of the duration that is given to the canary, so that a version that becomes faulty late does so as a canary.
const CANARY_DURATION_SHARE: f64 = 0.52;
/// How long the halfway stage lasts.
const HALFWAY_MS: u64 = 1000;
/// How long the candidate has all requests before the rollout may be declared complete.
const MIN_FULL_SHARE_MS: u64 = 2500;
/// How long before its duration ends a rollout is declared complete.
const COMPLETION_MARGIN_MS: u64 = 1200;

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
}

impl RolloutSchedule {
    /// Returns when the canary stage ends, in milliseconds after the start.
    pub fn canary_ms(&self) -> u64 {
        let usual_ms = (self.duration_ms as f64 * CANARY_DURATION_SHARE) as u64;
        usual_ms.min(self.promotion_deadline_ms().saturating_sub(HALFWAY_MS / 2))
    }

    /// Returns when a candidate that was not found healthy is rolled back, in milliseconds after the start.
    fn promotion_deadline_ms(&self) -> u64 {
        self.duration_ms.saturating_sub(COMPLETION_MARGIN_MS + MIN_FULL_SHARE_MS + HALFWAY_MS)
    }

    /// Returns the step that is due.
    ///
    /// `share` is the candidate's current share in thousandths, `share_for_ms` how long it has had it, `elapsed_ms` the time
    /// since the start of the rollout.
    pub fn next_step(&self, share: u32, share_for_ms: u64, elapsed_ms: u64, verdict: Verdict) -> RolloutStep {
        if matches!(verdict, Verdict::Failing | Verdict::Slow) {
            return RolloutStep::RollBack;
        }
        if share >= FULL_SHARE {
            let is_due = elapsed_ms + COMPLETION_MARGIN_MS >= self.duration_ms && share_for_ms >= MIN_FULL_SHARE_MS;
            return if is_due { RolloutStep::Complete } else { RolloutStep::Hold };
        }
        if share > CANARY_SHARE {
            return if share_for_ms >= HALFWAY_MS { RolloutStep::SetShare(FULL_SHARE) } else { RolloutStep::Hold };
        }
        if elapsed_ms < self.canary_ms() {
            return if share == 0 { RolloutStep::SetShare(CANARY_SHARE) } else { RolloutStep::Hold };
        }
        match verdict {
            Verdict::Healthy => RolloutStep::SetShare(HALFWAY_SHARE),
            _ if elapsed_ms >= self.promotion_deadline_ms() => RolloutStep::RollBack,
            _ => RolloutStep::Hold,
        }
    }
}

#[cfg(test)]
#[path = "rollout_schedule_tests.rs"]
mod tests;
