//! The pacing of hedged calls: how soon a router calls another controller, and how long it waits for a controller
//! whose response may be large.

use kernel::ConvergenceBudget;

/// Initial soft timeout of a call, in milliseconds: if the response may contain the whole configuration, no other
/// controller is called for it before then.
///
/// After a total power loss all routers request the configuration at once, and each further controller that is called
/// has to send it again. After each soft timeout the next controller therefore gets twice as long.
pub const INITIAL_SOFT_TIMEOUT_MS: u64 = 1500;
/// Maximum soft timeout, in milliseconds.
pub const MAX_SOFT_TIMEOUT_MS: u64 = 6000;

/// The number of attempts at the shortest gap. From then on each gap is twice the previous one, up to the longest.
const ATTEMPTS_BEFORE_BACKOFF: u32 = 6;
/// The maximum number of times that a gap is doubled; keeps the shift in range.
const MAX_GAP_DOUBLINGS: u32 = 16;
/// Divides the gap after a failed attempt, because a failed attempt puts no load on any controller.
const FAILED_GAP_DIVISOR: u64 = 4;

/// The outcome of a call, as far as it tells something about the speed of the links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The controller responded.
    Responded,
    /// No connection was established, or it broke.
    Unreachable,
    /// The controller was reached but sent no first response within the soft timeout.
    Slow,
    /// The controller had responded before and no longer does.
    Unresponsive,
}

/// Returns the soft timeout of the next call, in milliseconds. Only a controller that was reached and exceeded its soft
/// timeout indicates slow links; a failed dial, or a controller that had responded before, does not.
pub fn next_soft_timeout(current_ms: u64, outcome: CallOutcome) -> u64 {
    match outcome {
        CallOutcome::Slow => (current_ms * 2).min(MAX_SOFT_TIMEOUT_MS),
        CallOutcome::Unreachable => current_ms,
        CallOutcome::Responded | CallOutcome::Unresponsive => INITIAL_SOFT_TIMEOUT_MS,
    }
}

/// The pacing of attempts. Invariant: two attempts are at least one gap apart, except for the two that start a series
/// and those that follow a failure; gaps grow until a fresh proof is obtained.
#[derive(Clone, Debug, Default)]
pub struct Pacing {
    last_attempt_at: Option<u64>,
    attempts: u32,
    last_attempt_failed: bool,
}

impl Pacing {
    /// Returns the number of attempts since the last reset.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Records that a controller is being called.
    pub fn record_attempt(&mut self, now: u64) {
        (self.last_attempt_at, self.last_attempt_failed) = (Some(now), false);
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Records that the controller called last could not be reached.
    pub fn record_failure(&mut self) {
        self.last_attempt_failed = true;
    }

    /// Resets the pacing after a fresh proof unless the last attempt is less than a gap ago, and returns whether it was
    /// reset. Otherwise each proof that soon becomes too old again would cause two calls at once.
    pub fn record_proof(&mut self, budget: &ConvergenceBudget, now: u64) -> bool {
        if self.last_attempt_at.is_some_and(|last| now < last + budget.hedge_gap_ms()) {
            return false;
        }
        *self = Pacing::default();
        true
    }

    /// Returns the earliest time of the next attempt. `proof_requested`: client requests wait for a proof.
    pub fn next_at(&self, budget: &ConvergenceBudget, proof_requested: bool) -> u64 {
        let Some(last) = self.last_attempt_at else { return 0 };
        let gap = self.gap(budget);
        last + if proof_requested { gap.min(budget.refusal_wait_ms()) } else { gap }
    }

    /// Returns the gap after the last attempt, in milliseconds.
    fn gap(&self, budget: &ConvergenceBudget) -> u64 {
        let doublings = self.attempts.saturating_sub(ATTEMPTS_BEFORE_BACKOFF).min(MAX_GAP_DOUBLINGS);
        let gap = (budget.hedge_gap_ms() << doublings).min(budget.max_hedge_gap_ms());
        if self.last_attempt_failed && doublings == 0 {
            return gap / FAILED_GAP_DIVISOR;
        }
        gap
    }
}

#[cfg(test)]
#[path = "pacing_tests.rs"]
mod tests;
