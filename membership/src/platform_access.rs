//! Detects whether this controller reaches the platform, which it polls for the list of engines.
//!
//! A controller that is cut off from the platform must not stay the poller of a zone: the list would go stale while the
//! controller is live to all others.

/// Number of consecutive polls without a response after which the platform counts as unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// Backoff before this controller polls again after it left polling to another one, in milliseconds.
const BACKOFF_MS: u64 = 5000;

/// Tracks the outcomes of this controller's polls of the platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformAccess {
    /// Number of consecutive polls without a response.
    consecutive_failures: u32,
    /// End of the backoff, in milliseconds.
    backoff_until: u64,
}

impl PlatformAccess {
    /// Records a poll with a response, which resets the failure count.
    pub fn record_success(&mut self) {
        *self = PlatformAccess::default();
    }

    /// Records a poll without a response. Once the platform counts as unreachable, each further failure starts another
    /// backoff.
    pub fn record_failure(&mut self, now: u64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures >= UNREACHABLE_AFTER_FAILURES {
            self.backoff_until = now + BACKOFF_MS;
        }
    }

    /// Returns whether another controller should poll in place of this one.
    pub fn is_unreachable(&self, now: u64) -> bool {
        now < self.backoff_until
    }
}

#[cfg(test)]
#[path = "platform_access_tests.rs"]
mod tests;
