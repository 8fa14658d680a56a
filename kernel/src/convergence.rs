//! The convergence budget: how the time within which an acknowledged change must be in force on every router
//! that reaches the core is divided among the waits on its way.
//!
//! A change travels from the core to a controller (pushed, or found by the controller's next confirmation) and from there
//! to its routers (pushed, or with the response to the next renewal). A wait detects whatever fails on the way. Each of these
//! waits is a named share of `converge_ms`, so that the worst path stays below it whatever its value; `convergence_tests.rs`
//! adds these paths up.

use std::ops::RangeInclusive;

use crate::settings::Bounds;

/// Confirmations are cheap, but no faster than this is of use; slower ones leave no room for a lost read.
const CONFIRMATION_INTERVAL_MS: RangeInclusive<u64> = 150..=300;
/// Leases, and the load reported with them, are renewed at least so often, however long changes may take.
const MAX_RENEWAL_INTERVAL_MS: u64 = 400;
/// A healthy controller responds well within this: it leaves time for one lost segment and its retransmission.
const MAX_TIMEOUT_MS: u64 = 500;
/// Clients wait for a refusal that is not certain no longer than this.
const MAX_REFUSAL_WAIT_MS: u64 = 300;

/// The shares of `converge_ms`, with the two other bounds that limit waits. All results are in milliseconds.
///
/// Invariant: `converge_ms` is above 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConvergenceBudget {
    converge_ms: u64,
    contact_ms: u64,
    revert_slack_ms: u64,
}

impl ConvergenceBudget {
    /// Creates the budget under the bounds of a deployment.
    pub fn new(bounds: &Bounds) -> ConvergenceBudget {
        ConvergenceBudget {
            converge_ms: bounds.converge_ms.max(1),
            contact_ms: bounds.contact_ms,
            revert_slack_ms: bounds.revert_slack_ms,
        }
    }

    /// Returns the time within which an acknowledged change is in force on every router that reaches the core.
    pub fn converge_ms(&self) -> u64 {
        self.converge_ms
    }

    fn share(&self, thousandths: u64) -> u64 {
        self.converge_ms * thousandths / 1000
    }

    /// Returns, for controllers, the pause from the start of one confirmation to the start of the next.
    pub fn confirmation_interval_ms(&self) -> u64 {
        self.share(125).clamp(*CONFIRMATION_INTERVAL_MS.start(), *CONFIRMATION_INTERVAL_MS.end())
    }

    /// Returns, for controllers, how long a confirmation may wait for a quorum to report which entries it has.
    pub fn confirmation_read_ms(&self) -> u64 {
        self.share(166)
    }

    /// Returns, for controllers, how long a confirmation may take to fetch the missing entries, all keys together.
    pub fn confirmation_fetch_ms(&self) -> u64 {
        self.share(125)
    }

    /// Returns the greatest age of a healthy controller's confirmation. Where nothing is missing, no fetch adds to it.
    pub fn confirmation_age_ms(&self) -> u64 {
        self.confirmation_interval_ms() + self.confirmation_read_ms()
    }

    /// Returns, for routers, the pause from one renewal at the home controller to the next.
    pub fn renewal_interval_ms(&self) -> u64 {
        self.share(166).min(MAX_RENEWAL_INTERVAL_MS)
    }

    /// Returns the time of a call to a healthy controller, with a new connection and a change in the response: not a
    /// wait, but the time that the other shares leave for it.
    pub fn response_ms(&self) -> u64 {
        self.share(100)
    }

    /// Returns, for routers, how long a renewal may go unanswered before the home controller counts as failing and others
    /// are called too.
    pub fn timeout_ms(&self) -> u64 {
        self.share(200).min(MAX_TIMEOUT_MS)
    }

    /// Returns, for routers, the age of the last proof that the table is current from which on others than the home
    /// controller are called too.
    pub fn hedge_age_ms(&self) -> u64 {
        self.share(450)
    }

    /// Returns, for routers, the pause between calls to further controllers.
    pub fn hedge_gap_ms(&self) -> u64 {
        self.share(100)
    }

    /// Returns, for routers, what `hedge_gap_ms` grows to while no controller can prove anything.
    ///
    /// It is short enough for a router whose contact is back to call several controllers before `contact_ms` is over.
    pub fn max_hedge_gap_ms(&self) -> u64 {
        (self.contact_ms / 4).max(self.hedge_gap_ms())
    }

    /// Returns, for routers, the age of the last proof from which on the next response may hold the whole configuration
    /// in place of a few changes.
    pub fn bulk_age_ms(&self) -> u64 {
        2 * self.contact_ms.max(self.converge_ms)
    }

    /// Returns, for routers, the greatest age of a proof on which a request is refused because the table has no route.
    pub fn refusal_age_ms(&self) -> u64 {
        self.share(800)
    }

    /// Returns, for routers, how long such a request may wait for that proof.
    pub fn refusal_wait_ms(&self) -> u64 {
        self.share(125).min(MAX_REFUSAL_WAIT_MS)
    }

    /// Returns, for routers, how long a request may rest on one look-up in the table before it must look again.
    pub fn lookup_age_ms(&self) -> u64 {
        self.revert_slack_ms / 2
    }
}

#[cfg(test)]
#[path = "convergence_tests.rs"]
mod tests;
