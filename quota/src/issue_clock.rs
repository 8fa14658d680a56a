//! Issue time: a clock that runs only while a controller's lease allows it to issue tokens.
//!
//! A controller's lease begins when it starts a read that a quorum then confirms. Three timeouts count from that
//! moment, and their order keeps two owners of a shard from issuing tokens for the same time: the old owner stops
//! adding tokens after [`ISSUE_MS`] and stops granting them after [`LEASE_MS`], and another controller takes over only
//! after [`OWNER_EXPIRY_MS`].

/// Time after the start of a read that a quorum confirmed during which a controller issues new tokens, in milliseconds.
pub const ISSUE_MS: u64 = 1100;
/// Length of the lease from the same start, in milliseconds: the controller may grant the tokens that it has.
/// Afterwards another controller may own the shard.
pub const LEASE_MS: u64 = 1700;
/// Time without a known confirmation after which a controller counts as stopped and others own its shards, in
/// milliseconds. Longer than a lease by the time that a confirmation takes to become known to others.
pub const OWNER_EXPIRY_MS: u64 = 2400;
/// Delay after the next confirmation before a controller whose lease had ended issues tokens again, in milliseconds: by
/// then the controllers that took over its shards know of it.
pub const REACQUIRE_DELAY_MS: u64 = 1000;

/// A clock that runs only while its controller may issue tokens. Invariant: it never goes backwards and never runs
/// faster than the monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct IssueClock {
    /// The issue time, in milliseconds.
    elapsed_ms: u64,
    /// The monotonic time up to which it was advanced.
    advanced_at: u64,
    /// The start of the newest read that confirmed the controller.
    confirmed_at: Option<u64>,
    /// The monotonic time before which it does not run.
    issues_from: u64,
}

impl IssueClock {
    /// Records the newest confirmation and runs up to `now`, both in monotonic milliseconds. Returns `true` if the
    /// lease had ended before this confirmation, so that all tokens are void.
    pub fn advance(&mut self, now: u64, confirmed_at: Option<u64>) -> bool {
        self.advance_to(now);
        let Some(confirmed_at) = confirmed_at else { return false };
        let lapsed = self.confirmed_at.is_none_or(|previous| confirmed_at > previous + LEASE_MS);
        if lapsed {
            self.issues_from = confirmed_at + REACQUIRE_DELAY_MS;
        }
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        self.advance_to(now);
        lapsed
    }

    fn advance_to(&mut self, now: u64) {
        let until = self.confirmed_at.map_or(0, |confirmed_at| confirmed_at + ISSUE_MS).min(now);
        let from = self.advanced_at.max(self.issues_from);
        self.elapsed_ms += until.saturating_sub(from);
        // A later confirmation does not allow tokens for the time before `now`.
        self.advanced_at = self.advanced_at.max(now);
    }

    /// Returns the issue time, in milliseconds.
    pub fn issue_time_ms(&self) -> u64 {
        self.elapsed_ms
    }

    /// Returns whether tokens may be granted at `now`.
    pub fn has_lease(&self, now: u64) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + LEASE_MS) && now >= self.issues_from
    }
}

#[cfg(test)]
#[path = "issue_clock_tests.rs"]
mod tests;
