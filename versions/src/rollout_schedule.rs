//! When a new version gets how much of a service's requests.

use crate::Verdict;

/// Thousandths of the requests that an unproved version gets. Below a tenth, by what chance and late news add.
pub const CANARY_SHARE: u32 = 70;
/// On the way to all: the readers of the new version must first read the prompts that all share.
const HALFWAY_SHARE: u32 = 400;
/// All requests.
pub const FULL_SHARE: u32 = 1000;

/// A version that turns bad late must have done so while it is a canary: this part of the time is given to it.
const CANARY_DURATION_SHARE: f64 = 0.52;
/// How long the halfway share lasts.
const HALFWAY_MS: u64 = 1000;
/// All requests have moved for so long, and so long before the term it is declared complete.
const MIN_FULL_SHARE_MS: u64 = 2500;
const COMPLETION_MARGIN_MS: u64 = 1200;

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// Nothing.
    Hold,
    /// The new version gets this share, in thousandths.
    SetShare(u32),
    /// All has moved: the old version ends.
    Complete,
    /// Back to the old version, for good.
    RollBack,
}

/// The schedule of one rollout.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSchedule {
    /// By then it must be complete or reverted.
    pub duration_ms: u64,
}

impl RolloutSchedule {
    /// When the canary ends.
    pub fn canary_ms(&self) -> u64 {
        let usual_ms = (self.duration_ms as f64 * CANARY_DURATION_SHARE) as u64;
        usual_ms.min(self.promotion_deadline_ms().saturating_sub(HALFWAY_MS / 2))
    }

    /// When a version that is not known to be good is given up.
    fn promotion_deadline_ms(&self) -> u64 {
        self.duration_ms.saturating_sub(COMPLETION_MARGIN_MS + MIN_FULL_SHARE_MS + HALFWAY_MS)
    }

    /// `share`: what it has now, and for how long; `elapsed_ms`: since the order.
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
