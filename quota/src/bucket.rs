//! A token bucket whose time is handed in.

/// What a tenant may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once above the rate.
    pub burst: f64,
}

impl Quota {
    /// A limit, or none where the rate is 0.
    pub fn new(rate_per_s: f64, burst: f64) -> Option<Quota> {
        (rate_per_s > 0.0).then_some(Quota { rate_per_s, burst: burst.max(0.0) })
    }

    /// The part of one of several shards. A shard holds at least one token, or it could never give one.
    pub fn shard(&self, shards: usize) -> Quota {
        let shards = shards.max(1) as f64;
        Quota { rate_per_s: self.rate_per_s / shards, burst: (self.burst / shards).max(1.0) }
    }
}

const MS_PER_S: f64 = 1000.0;

/// Invariant: never more than `burst` tokens of the quota it was last refilled by, and never less than none.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    /// Minting time up to which tokens were added.
    refilled_at: u64,
}

impl TokenBucket {
    /// An empty bucket that mints from a time on.
    pub fn empty(issue_from_ms: u64) -> TokenBucket {
        TokenBucket { tokens: 0.0, refilled_at: issue_from_ms }
    }

    /// Adds what was issued since the last time.
    pub fn refill(&mut self, quota: &Quota, issue_now_ms: u64) {
        let elapsed_ms = issue_now_ms.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(issue_now_ms);
        let issued = elapsed_ms as f64 * quota.rate_per_s / MS_PER_S;
        self.tokens = (self.tokens + issued).min(quota.burst);
    }

    /// Takes one token if there is one.
    pub fn try_acquire(&mut self) -> bool {
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// How long until there is a token again, if nobody else takes it.
    pub fn next_token_ms(&self, quota: &Quota) -> u64 {
        let missing = (1.0 - self.tokens).max(0.0);
        (missing / quota.rate_per_s * MS_PER_S).ceil() as u64
    }

    /// Tokens that can be taken now.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Forgets its tokens.
    pub fn clear(&mut self, issue_now_ms: u64) {
        *self = TokenBucket::empty(issue_now_ms);
    }
}

#[cfg(test)]
#[path = "bucket_tests.rs"]
mod tests;
