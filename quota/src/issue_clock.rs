//! The time during which a controller may mint tokens.

/// From the begin of a read that confirmed a controller at a quorum on, it may mint for so long.
pub const ISSUE_MS: u64 = 1100;
/// And it may give tokens that it has for so long. Later nothing is left of them: another may hold the shard.
pub const LEASE_MS: u64 = 1700;
/// A controller that is not known to be confirmed for so long is taken for gone, and its shards are taken over. Longer than a
/// lease, by what hearing of a confirmation may take.
pub const OWNER_EXPIRY_MS: u64 = 2400;
/// A controller that was not confirmed for longer than a lease mints again only so long after it is: by then those that took its
/// shards over have heard of it.
pub const REACQUIRE_DELAY_MS: u64 = 1000;

/// A clock that runs only while its controller may mint. Invariant: it never goes back, and never runs faster than time.
#[derive(Clone, Debug, Default)]
pub struct IssueClock {
    elapsed_ms: u64,
    /// The steady time up to which it was advanced.
    advanced_at: u64,
    /// The begin of the newest read that confirmed the controller.
    confirmed_at: Option<u64>,
    /// Before this steady time it does not run.
    issues_from: u64,
}

impl IssueClock {
    /// Notes the newest confirmation and runs up to now. True: the lease had lapsed, and all tokens are void.
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
        // What was not confirmed by now is not minted for later.
        self.advanced_at = self.advanced_at.max(now);
    }

    /// How long it has run.
    pub fn issue_time_ms(&self) -> u64 {
        self.elapsed_ms
    }

    /// May tokens be given?
    pub fn has_lease(&self, now: u64) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + LEASE_MS) && now >= self.issues_from
    }
}

#[cfg(test)]
#[path = "issue_clock_tests.rs"]
mod tests;
