//! The convergence budget: how the time within which an acknowledged change must be in force on every router
//! that reaches the core is divided among the waits on its way.
//!
//! A change travels from the core to a controller (pushed, or found by the controller's next confirmation) and from there
//! to its routers (pushed, or with the answer to the next renewal). Whatever fails on the way is found out by a
//! wait. Each of these waits is a named share of `converge_ms`, so that the worst path stays below it whatever
//! its value; `convergence_tests.rs` adds these paths up.

use std::ops::RangeInclusive;

use crate::settings::Bounds;

/// The shares of `converge_ms`, with the two other bounds that limit waits. Invariant: `converge_ms` is above 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConvergenceBudget {
    converge_ms: u64,
    contact_ms: u64,
    revert_slack_ms: u64,
}

/// Confirmations are cheap and no faster than this is of use; slower ones leave no room for a lost read.
const CONFIRMATION_INTERVAL_MS: RangeInclusive<u64> = 150..=300;
/// Leases and the load told with them are renewed at least so often, however long changes may take.
const MAX_RENEWAL_INTERVAL_MS: u64 = 400;
/// A healthy controller answers well within this: it bears one lost segment and its retransmission.
const MAX_TIMEOUT_MS: u64 = 500;
/// Clients wait for a refusal that is not certain no longer than this.
const MAX_REFUSAL_WAIT_MS: u64 = 300;

impl ConvergenceBudget {
    /// The budget under the bounds of a deployment.
    pub fn new(bounds: &Bounds) -> ConvergenceBudget {
        ConvergenceBudget {
            converge_ms: bounds.converge_ms.max(1),
            contact_ms: bounds.contact_ms,
            revert_slack_ms: bounds.revert_slack_ms,
        }
    }

    /// Within this an acknowledged change is in force on every router that reaches the core.
    pub fn converge_ms(&self) -> u64 {
        self.converge_ms
    }

    fn share(&self, thousandths: u64) -> u64 {
        self.converge_ms * thousandths / 1000
    }

    /// Controllers: from the begin of one confirmation to the begin of the next.
    pub fn confirmation_interval_ms(&self) -> u64 {
        self.share(125).clamp(*CONFIRMATION_INTERVAL_MS.start(), *CONFIRMATION_INTERVAL_MS.end())
    }

    /// Controllers: how long a confirmation may wait for a quorum to tell what it holds.
    pub fn confirmation_read_ms(&self) -> u64 {
        self.share(166)
    }

    /// Controllers: how long a confirmation may take to fetch what was found to be missing, all keys together.
    pub fn confirmation_fetch_ms(&self) -> u64 {
        self.share(125)
    }

    /// How old a healthy controller's confirmation is at most. Where nothing is missing, no fetch adds to it.
    pub fn confirmation_age_ms(&self) -> u64 {
        self.confirmation_interval_ms() + self.confirmation_read_ms()
    }

    /// Routers: from one renewal at the home controller to the next.
    pub fn renewal_interval_ms(&self) -> u64 {
        self.share(166).min(MAX_RENEWAL_INTERVAL_MS)
    }

    /// What a call to a healthy controller takes, with a new connection and a change in the answer: not a wait, but
    /// the time that the other shares leave for it.
    pub fn response_ms(&self) -> u64 {
        self.share(100)
    }

    /// Routers: a home controller that has not answered a renewal for so long may be sick: others are asked too.
    pub fn timeout_ms(&self) -> u64 {
        self.share(200).min(MAX_TIMEOUT_MS)
    }

    /// Routers: once the table was proved current longer ago than this, others than the home controller are asked too.
    pub fn hedge_age_ms(&self) -> u64 {
        self.share(450)
    }

    /// Routers: from one further controller asked to the next.
    pub fn hedge_gap_ms(&self) -> u64 {
        self.share(100)
    }

    /// Routers: what `hedge_gap_ms` grows to while no controller can prove anything. A router whose contact is back
    /// asks several controllers before it counts as in touch again.
    pub fn max_hedge_gap_ms(&self) -> u64 {
        (self.contact_ms / 4).max(self.hedge_gap_ms())
    }

    /// Routers: without a proof for so long the next answer may hold the whole configuration instead of a few
    /// changes.
    pub fn bulk_age_ms(&self) -> u64 {
        2 * self.contact_ms.max(self.converge_ms)
    }

    /// Routers: a request is refused for what the table lacks only if it was proved current no longer ago.
    pub fn refusal_age_ms(&self) -> u64 {
        self.share(800)
    }

    /// Routers: how long such a request may wait for that proof.
    pub fn refusal_wait_ms(&self) -> u64 {
        self.share(125).min(MAX_REFUSAL_WAIT_MS)
    }

    /// Routers: how long a request may rest on what it was told by the table before it must look again.
    pub fn lookup_age_ms(&self) -> u64 {
        self.revert_slack_ms / 2
    }
}

#[cfg(test)]
#[path = "convergence_tests.rs"]
mod tests;
