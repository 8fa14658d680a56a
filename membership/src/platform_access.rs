//! Whether this controller reaches the platform, whose list of engines it polls.
//!
//! A controller that is cut off from the platform must not stay the poller of a zone: the list would go stale while the
//! controller looks alive to all others.

/// How many polls in a row without a response show that the platform is unreachable.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// How long another controller is left to poll before this one tries again.
const YIELD_MS: u64 = 5000;

/// The outcome of this controller's last polls.
#[derive(Clone, Debug, Default)]
pub struct PlatformAccess {
    failures: u32,
    yield_until: u64,
}

impl PlatformAccess {
    /// Takes in a poll with a response: earlier failures no longer count.
    pub fn record_success(&mut self) {
        *self = PlatformAccess::default();
    }

    /// Takes in a poll without a response. Once the platform is unreachable, one more failure is enough to yield again.
    pub fn record_failure(&mut self, now: u64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= UNREACHABLE_AFTER_FAILURES {
            self.yield_until = now + YIELD_MS;
        }
    }

    /// Returns whether another controller should poll in place of this one.
    pub fn is_unreachable(&self, now: u64) -> bool {
        now < self.yield_until
    }
}

#[cfg(test)]
#[path = "platform_access_tests.rs"]
mod tests;
