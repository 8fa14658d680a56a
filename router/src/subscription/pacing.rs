//! How fast a router asks further controllers, and how long it waits for one that may be sending much.
use kernel::ConvergenceBudget;

/// How long a controller that was reached has before another is asked beside it, where its answer may hold the
/// whole configuration. After a loss of power everywhere all routers ask for it at once: whoever asks another
/// controller asks for it again there, so each that was waited for in vain is followed by one that gets more time.
pub const PATIENCE_MS: u64 = 1500;
pub const PATIENCE_MOST_MS: u64 = 6000;

/// So many are asked at the first gap; from then on each gap is twice the one before, up to the greatest.
const ASKS_BEFORE_SLOWING: u32 = 6;
/// One that fails at once costs nothing: the next is asked so much sooner.
const FAILED_DIVISOR: u64 = 4;

/// What became of a call, as far as it tells of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    /// No connection came up, or it broke.
    Unreached,
    /// It was reached, and gave no first answer in the time that it had.
    Slow,
    /// It had answered before, and does no longer.
    Silent,
}

/// The patience with the next controller. Only one that was reached and waited for shows that links are slow: a
/// dial that failed, or a controller that had answered before, does not.
pub fn patience(held: u64, outcome: Outcome) -> u64 {
    match outcome {
        Outcome::Slow => (held * 2).min(PATIENCE_MOST_MS),
        Outcome::Unreached => held,
        Outcome::Answered | Outcome::Silent => PATIENCE_MS,
    }
}

/// The pace of asking. Invariant: two asks are at least a gap apart, but for the two that begin it and the few
/// that follow a failure; the gaps grow while nothing is proved.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    last: Option<u64>,
    asks: u32,
    failed: bool,
}

impl Pace {
    /// How many were asked since all was well.
    pub fn asks(&self) -> u32 {
        self.asks
    }

    pub fn note_ask(&mut self, now: u64) {
        (self.last, self.failed) = (Some(now), false);
        self.asks = self.asks.saturating_add(1);
    }

    /// A controller that was asked was not reached.
    pub fn note_failure(&mut self) {
        self.failed = true;
    }

    /// All is well. What was asked within the last gap still counts: a proof that is soon too old again must not
    /// have two controllers asked each time. True: the next ask is the first.
    pub fn note_proof(&mut self, budget: &ConvergenceBudget, now: u64) -> bool {
        if self.last.is_some_and(|last| now < last + budget.hedge_gap_ms()) {
            return false;
        }
        *self = Pace::default();
        true
    }

    /// When the next may be asked. `wanted`: requests wait for a proof.
    pub fn next_at(&self, budget: &ConvergenceBudget, wanted: bool) -> u64 {
        let Some(last) = self.last else { return 0 };
        let gap = self.gap(budget);
        last + if wanted { gap.min(budget.refusal_wait_ms()) } else { gap }
    }

    fn gap(&self, budget: &ConvergenceBudget) -> u64 {
        let doublings = self.asks.saturating_sub(ASKS_BEFORE_SLOWING).min(16);
        let gap = (budget.hedge_gap_ms() << doublings).min(budget.max_hedge_gap_ms());
        if self.failed && doublings == 0 {
            return gap / FAILED_DIVISOR;
        }
        gap
    }
}

#[cfg(test)]
#[path = "pacing_tests.rs"]
mod tests;
