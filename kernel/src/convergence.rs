//! The convergence budget: divides `converge_ms`, the time within which an acknowledged change must be in force on
//! every router that reaches the core, among the timeouts and intervals along the propagation path.
//!
//! A change travels from the core to a controller (pushed, or found by the controller's next confirmation) and from
//! there to its routers (pushed, or with the response to the next renewal). Timeouts detect each failure on the way.
//! Each of these timeouts and intervals is a named share of `converge_ms`, so that the slowest path stays below it
//! whatever its value; `convergence_tests.rs` adds up these paths.

use std::ops::RangeInclusive;

use crate::settings::Bounds;

/// Range of the confirmation interval, in milliseconds. Confirmations are cheap, but a shorter interval gains nothing,
/// and a longer one leaves no time to recover from a lost read.
const CONFIRMATION_INTERVAL_MS: RangeInclusive<u64> = 150..=300;
/// Maximum renewal interval, in milliseconds: leases, and the load reported with them, must be renewed this often even
/// if `converge_ms` is long.
const MAX_RENEWAL_INTERVAL_MS: u64 = 400;
/// Maximum timeout of a renewal, in milliseconds. A healthy controller responds well within it: it leaves time for one
/// lost segment and its retransmission.
const MAX_TIMEOUT_MS: u64 = 500;
/// Maximum time, in milliseconds, that a client waits for proof that its request must be refused.
const MAX_REFUSAL_WAIT_MS: u64 = 300;

/// Timeouts and intervals derived from `converge_ms` and two other bounds. All are in milliseconds.
///
/// Invariant: `converge_ms` is above 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConvergenceBudget {
    converge_ms: u64,
    contact_ms: u64,
    revert_slack_ms: u64,
}

impl ConvergenceBudget {
    /// Creates the budget from the bounds of a deployment.
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

    /// Returns a share of `converge_ms`, given in thousandths.
    fn share(&self, thousandths: u64) -> u64 {
        self.converge_ms * thousandths / 1000
    }

    /// Returns the interval budgeted for controllers' confirmations, from the start of one to the start of the next.
    pub fn confirmation_interval_ms(&self) -> u64 {
        self.share(125).clamp(*CONFIRMATION_INTERVAL_MS.start(), *CONFIRMATION_INTERVAL_MS.end())
    }

    /// Returns the time budgeted for the read of a confirmation, in which a quorum reports which entries it has.
    pub fn confirmation_read_ms(&self) -> u64 {
        self.share(166)
    }

    /// Returns the time budgeted for fetching the entries that a confirmation found missing, for all keys together.
    pub fn confirmation_fetch_ms(&self) -> u64 {
        self.share(125)
    }

    /// Returns the maximum age of a healthy controller's confirmation if no entries were missing, so that no fetch adds
    /// to it.
    pub fn confirmation_age_ms(&self) -> u64 {
        self.confirmation_interval_ms() + self.confirmation_read_ms()
    }

    /// Returns the interval at which a router renews its subscription at the home controller.
    pub fn renewal_interval_ms(&self) -> u64 {
        self.share(166).min(MAX_RENEWAL_INTERVAL_MS)
    }

    /// Returns the time allowed for a call to a healthy controller, including a new connection and a change in the
    /// response. This is no timeout but the time that the other shares leave for the call.
    pub fn response_ms(&self) -> u64 {
        self.share(100)
    }

    /// Returns the routers' timeout for a renewal. After it the home controller counts as failing, and the router calls
    /// other controllers too.
    pub fn timeout_ms(&self) -> u64 {
        self.share(200).min(MAX_TIMEOUT_MS)
    }

    /// Returns the age of the last proof that its table is current at which a router starts hedging: it calls
    /// controllers other than its home too.
    pub fn hedge_age_ms(&self) -> u64 {
        self.share(450)
    }

    /// Returns the initial interval between a router's hedged calls.
    pub fn hedge_gap_ms(&self) -> u64 {
        self.share(100)
    }

    /// Returns the maximum interval between a router's hedged calls, to which `hedge_gap_ms` backs off while no
    /// controller can prove that the table is current.
    ///
    /// It is short enough for a router that regains contact to call several controllers before `contact_ms` has passed.
    pub fn max_hedge_gap_ms(&self) -> u64 {
        (self.contact_ms / 4).max(self.hedge_gap_ms())
    }

    /// Returns the age of a router's last proof above which the next response may contain the whole configuration
    /// instead of a few changes.
    pub fn bulk_age_ms(&self) -> u64 {
        2 * self.contact_ms.max(self.converge_ms)
    }

    /// Returns the maximum age of the proof that a router needs to refuse a request for which its table has no route.
    pub fn refusal_age_ms(&self) -> u64 {
        self.share(800)
    }

    /// Returns how long such a request may wait for the proof.
    pub fn refusal_wait_ms(&self) -> u64 {
        self.share(125).min(MAX_REFUSAL_WAIT_MS)
    }

    /// Returns how long a router may use the result of a request's look-up in its table before it must repeat it.
    pub fn lookup_age_ms(&self) -> u64 {
        self.revert_slack_ms / 2
    }
}

#[cfg(test)]
#[path = "convergence_tests.rs"]
mod tests;
