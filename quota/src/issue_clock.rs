//! The time during which a controller may issue tokens, as a clock that runs only while its lease allows it.
//!
//! A controller's lease begins when it starts a read that a quorum then confirms. Three times follow from that moment, and
//! their order is what keeps two owners of one shard from issuing for the same time: the old owner stops adding tokens after
//! [`ISSUE_MS`], stops giving out tokens after [`LEASE_MS`], and only after [`OWNER_EXPIRY_MS`] does another take over.

/// How long a controller issues new tokens after the start of a read that a quorum confirmed.
pub const ISSUE_MS: u64 = 1100;
/// How long it may give out tokens that it has, from the same start. Later another controller may own the shard.
pub const LEASE_MS: u64 = 1700;
/// A controller without a known confirmation for so long is regarded as stopped, and other controllers own its shards. Longer
/// than a lease by the time in which a confirmation becomes known to others.
pub const OWNER_EXPIRY_MS: u64 = 2400;
/// How long a controller whose lease had ended waits after its next confirmation before it issues tokens again: by then those
/// that took over its shards know of it.
pub const REACQUIRE_DELAY_MS: u64 = 1000;

/// A clock that runs only while its controller may issue tokens. Invariant: it never goes back, and never runs faster than
/// steady time.
#[derive(Clone, Debug, Default)]
pub struct IssueClock {
    /// How long it has run.
    elapsed_ms: u64,
    /// The steady time up to which it was advanced.
    advanced_at: u64,
    /// The start of the newest read that confirmed the controller.
    confirmed_at: Option<u64>,
    /// Before this steady time it does not run.
    issues_from: u64,
}

impl IssueClock {
    /// Records the newest confirmation and runs up to `now`, both in steady milliseconds. Returns `true` if the lease had ended
    /// before this confirmation, so that all tokens are void.
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
        // A confirmation that comes later does not allow tokens for the time before now.
        self.advanced_at = self.advanced_at.max(now);
    }

    /// Returns how long the clock has run, in milliseconds.
    pub fn issue_time_ms(&self) -> u64 {
        self.elapsed_ms
    }

    /// Returns whether tokens may be given out now.
    pub fn has_lease(&self, now: u64) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + LEASE_MS) && now >= self.issues_from
    }
}

#[cfg(test)]
#[path = "issue_clock_tests.rs"]
mod tests;
