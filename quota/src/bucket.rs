//! A token bucket that is refilled by the issue time that its caller passes in.

/// The rate limit of a tenant, or of one of its shards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Capacity of the bucket: the number of requests that may come at once.
    pub burst: f64,
}

impl Quota {
    /// Returns a limit, or `None` if the rate is 0, which means no limit.
    pub fn new(rate_per_s: f64, burst: f64) -> Option<Quota> {
        (rate_per_s > 0.0).then_some(Quota { rate_per_s, burst: burst.max(0.0) })
    }

    /// Returns the limit of one of `shards` equal shards. Its burst is at least one token, since it could never grant
    /// one otherwise.
    pub fn shard(&self, shards: usize) -> Quota {
        let shards = shards.max(1) as f64;
        Quota { rate_per_s: self.rate_per_s / shards, burst: (self.burst / shards).max(1.0) }
    }
}

/// Milliseconds in a second.
pub(crate) const MS_PER_S: f64 = 1000.0;

/// A token bucket. Invariant: it holds between 0 and `burst` tokens of the quota of its last refill.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    /// Issue time up to which tokens were added, in milliseconds.
    refilled_at: u64,
}

impl TokenBucket {
    /// Returns an empty bucket that gains tokens from the issue time `issue_from_ms` on.
    pub fn empty(issue_from_ms: u64) -> TokenBucket {
        TokenBucket { tokens: 0.0, refilled_at: issue_from_ms }
    }

    /// Adds the tokens issued since the last refill. A time before the last refill adds none.
    pub fn refill(&mut self, quota: &Quota, issue_now_ms: u64) {
        let elapsed_ms = issue_now_ms.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(issue_now_ms);
        let issued = elapsed_ms as f64 * quota.rate_per_s / MS_PER_S;
        self.tokens = (self.tokens + issued).min(quota.burst);
    }

    /// Removes one token and returns `true`, or returns `false` if there is none.
    pub fn try_acquire(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns the issue time until the next token, in milliseconds, if no other request takes tokens.
    pub fn next_token_ms(&self, quota: &Quota) -> u64 {
        let missing = (1.0 - self.tokens).max(0.0);
        (missing / quota.rate_per_s * MS_PER_S).ceil() as u64
    }

    /// Returns the tokens in the bucket, including fractions.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Discards all tokens; new ones are issued from the issue time `issue_now_ms` on.
    pub fn clear(&mut self, issue_now_ms: u64) {
        *self = TokenBucket::empty(issue_now_ms);
    }
}

#[cfg(test)]
#[path = "bucket_tests.rs"]
mod tests;
