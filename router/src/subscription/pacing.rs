//! How fast a router asks further controllers, and how long it waits for one that may be sending much.
use kernel::ConvergenceBudget;

/// How long a controller that was reached has before another is asked beside it, where its answer may hold the
/// whole configuration. After a loss of power everywhere all routers ask for it at once: whoever asks another
/// controller asks for it again there, so each that was waited for in vain is followed by one that gets more time.
pub const INITIAL_PATIENCE_MS: u64 = 1500;
pub const MAX_PATIENCE_MS: u64 = 6000;

/// So many are asked at the first gap; from then on each gap is twice the one before, up to the greatest.
const ATTEMPTS_BEFORE_BACKOFF: u32 = 6;
/// One that fails at once costs nothing: the next is asked so much sooner.
const FAILED_DIVISOR: u64 = 4;

/// What became of a call, as far as it tells of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Responded,
    /// No connection came up, or it broke.
    Unreachable,
    /// It was reached, and gave no first answer in the time that it had.
    Slow,
    /// It had answered before, and does no longer.
    Unresponsive,
}

/// The patience with the next controller. Only one that was reached and waited for shows that links are slow: a
/// dial that failed, or a controller that had answered before, does not.
pub fn next_patience(current_ms: u64, outcome: Outcome) -> u64 {
    match outcome {
        Outcome::Slow => (current_ms * 2).min(MAX_PATIENCE_MS),
        Outcome::Unreachable => current_ms,
        Outcome::Responded | Outcome::Unresponsive => INITIAL_PATIENCE_MS,
    }
}

/// The pace of asking. Invariant: two asks are at least a gap apart, but for the two that begin it and the few
/// that follow a failure; the gaps grow while nothing is proved.
#[derive(Clone, Debug, Default)]
pub struct Pacing {
    last_attempt_at: Option<u64>,
    attempts: u32,
    last_attempt_failed: bool,
}

impl Pacing {
    /// How many were asked since all was well.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    pub fn record_attempt(&mut self, now: u64) {
        (self.last_attempt_at, self.last_attempt_failed) = (Some(now), false);
        self.attempts = self.attempts.saturating_add(1);
    }

    /// A controller that was asked was not reached.
    pub fn record_failure(&mut self) {
        self.last_attempt_failed = true;
    }

    /// All is well. What was asked within the last gap still counts: a proof that is soon too old again must not
    /// have two controllers asked each time. True: the next ask is the first.
    pub fn record_proof(&mut self, budget: &ConvergenceBudget, now: u64) -> bool {
        if self.last_attempt_at.is_some_and(|last| now < last + budget.hedge_gap_ms()) {
            return false;
        }
        *self = Pacing::default();
        true
    }

    /// When the next may be asked. `wanted`: requests wait for a proof.
    pub fn next_at(&self, budget: &ConvergenceBudget, proof_requested: bool) -> u64 {
        let Some(last) = self.last_attempt_at else { return 0 };
        let gap = self.gap(budget);
        last + if proof_requested { gap.min(budget.refusal_wait_ms()) } else { gap }
    }

    fn gap(&self, budget: &ConvergenceBudget) -> u64 {
        let doublings = self.attempts.saturating_sub(ATTEMPTS_BEFORE_BACKOFF).min(16);
        let gap = (budget.hedge_gap_ms() << doublings).min(budget.max_hedge_gap_ms());
        if self.last_attempt_failed && doublings == 0 {
            return gap / FAILED_DIVISOR;
        }
        gap
    }
}

#[cfg(test)]
#[path = "pacing_tests.rs"]
mod tests;
