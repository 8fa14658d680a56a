//! The pacing of hedged calls: how soon a router asks further controllers, and how long it waits for one whose
//! response may be large.

use kernel::ConvergenceBudget;

/// How long a controller that was reached may take, in milliseconds, before another is asked beside it where the
/// response may hold the whole configuration.
/// After a loss of power everywhere all routers request it at once, and every further controller that is asked has
/// to send it again. Each controller that exceeded the patience is therefore followed by one that gets twice as
/// long.
pub const INITIAL_PATIENCE_MS: u64 = 1500;
/// The upper bound of the patience, in milliseconds.
pub const MAX_PATIENCE_MS: u64 = 6000;

/// The number of attempts at the shortest gap; from then on each gap is twice the one before, up to the longest.
const ATTEMPTS_BEFORE_BACKOFF: u32 = 6;
/// A failed attempt costs nothing, so the gap after it is divided by this.
const FAILED_DIVISOR: u64 = 4;

/// The outcome of a call, as far as it says something about the speed of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The controller responded.
    Responded,
    /// No connection was established, or it broke.
    Unreachable,
    /// It was reached, and sent no first response within the patience.
    Slow,
    /// It had responded before, and no longer does.
    Unresponsive,
}

/// Returns the patience with the next controller, in milliseconds. Only a controller that was reached and exceeded
/// its patience shows that links are slow; a failed dial, or one that had responded before, does not.
pub fn next_patience(current_ms: u64, outcome: Outcome) -> u64 {
    match outcome {
        Outcome::Slow => (current_ms * 2).min(MAX_PATIENCE_MS),
        Outcome::Unreachable => current_ms,
        Outcome::Responded | Outcome::Unresponsive => INITIAL_PATIENCE_MS,
    }
}

/// The pacing of attempts. Invariant: two attempts are at least one gap apart, except for the two that begin a
/// series and those that follow a failure; gaps grow while nothing is proved.
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

    /// Records that a controller is being asked.
    pub fn record_attempt(&mut self, now: u64) {
        (self.last_attempt_at, self.last_attempt_failed) = (Some(now), false);
        self.attempts = self.attempts.saturating_add(1);
    }

    /// Records that the controller that was asked last could not be reached.
    pub fn record_failure(&mut self) {
        self.last_attempt_failed = true;
    }

    /// Resets the pacing because a fresh proof was obtained, and returns whether it did. An attempt within the last
    /// gap still counts: otherwise a proof that soon becomes too old again would cause two calls each time.
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
