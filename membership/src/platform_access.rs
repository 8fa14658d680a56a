//! Whether this controller reaches the platform. One that is cut off from it must not stay the poller of a
//! zone: its list would go stale while it looks alive to all others.

/// So many polls in a row without an answer show that the platform is out of reach.
const FAILURES: u32 = 3;
/// How long another controller is left to poll before this one tries again.
const YIELD_MS: u64 = 5000;

#[derive(Clone, Debug, Default)]
pub struct PlatformAccess {
    failures: u32,
    yield_until: u64,
}

impl PlatformAccess {
    pub fn record_success(&mut self) {
        *self = PlatformAccess::default();
    }

    /// A poll had no answer. Once out of reach, one more failure is enough to yield again.
    pub fn record_failure(&mut self, now: u64) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES {
            self.yield_until = now + YIELD_MS;
        }
    }

    pub fn is_unreachable(&self, now: u64) -> bool {
        now < self.yield_until
    }
}

#[cfg(test)]
#[path = "platform_access_tests.rs"]
mod tests;
