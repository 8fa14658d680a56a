//! The shards that one controller owns, across leases and changes of the eligible controllers.

use std::collections::{HashMap, VecDeque};

use crate::{shard_owners, EligibleOwner, IssueClock, Quota, TokenBucket, SHARDS};

/// The answer to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request may be sent.
    Granted,
    /// The shard is empty.
    Denied {
        /// Minimum time until its next token, in milliseconds.
        retry_after_ms: u64,
    },
    /// This controller owns no shard of the tenant, or can't be sure that it still does.
    NotOwner,
}

/// Counters of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardCounters {
    /// The tenant's name.
    pub tenant: String,
    /// The limit of all shards together, as of the last request to this shard.
    pub quota: Quota,
    /// Number of tokens granted since this controller took over the shard.
    pub granted: u64,
    /// Number of requests for a token that were denied.
    pub denied: u64,
    /// Tokens in the shard, including fractions.
    pub tokens: f64,
}

/// The shard of one tenant at this controller.
struct Shard {
    bucket: TokenBucket,
    /// The limit of all shards together.
    quota: Quota,
    granted: u64,
    denied: u64,
    /// Monotonic time of the last request, in milliseconds.
    used_at: u64,
}

/// A list of eligible controllers, and the issue time from which it applies.
struct Placement {
    since: u64,
    eligible: Vec<EligibleOwner>,
}

/// Maximum number of lists of eligible controllers that are kept. They show since when this controller owns a shard
/// that nobody has requested yet.
const MAX_PLACEMENTS: usize = 8;
/// Time without requests after which a shard is dropped, in milliseconds. It would be full by then.
const IDLE_TIMEOUT_MS: u64 = 600_000;

/// The shards of one controller. Invariant: `shards` holds only tenants with a shard that this controller owns in the
/// newest placement.
pub struct Shards {
    own_ip: String,
    clock: IssueClock,
    placements: VecDeque<Placement>,
    shards: HashMap<String, Shard>,
    /// Injects a fault: new buckets start full and not empty.
    #[cfg(test)]
    pub(crate) starts_full: bool,
}

impl Shards {
    /// Returns the shards of a controller that has just started, which owns none before its first lease.
    pub fn new(own_ip: &str) -> Shards {
        Shards {
            own_ip: own_ip.into(),
            clock: IssueClock::default(),
            placements: VecDeque::new(),
            shards: HashMap::new(),
            #[cfg(test)]
            starts_full: false,
        }
    }

    /// Records the eligible controllers as this one sees them, and the start of the last read that confirmed this one,
    /// in monotonic milliseconds. Must be called at each heartbeat, at an interval much shorter than a lease.
    pub fn refresh(&mut self, now: u64, confirmed_at: Option<u64>, mut eligible: Vec<EligibleOwner>) {
        self.advance(now, confirmed_at);
        eligible.sort();
        if self.placements.back().is_none_or(|newest| newest.eligible != eligible) {
            self.update_placement(eligible);
        }
        self.shards.retain(|_, shard| now < shard.used_at + IDLE_TIMEOUT_MS);
    }

    fn advance(&mut self, now: u64, confirmed_at: Option<u64>) {
        if self.clock.advance(now, confirmed_at) {
            let issue_now_ms = self.clock.issue_time_ms();
            self.shards.values_mut().for_each(|shard| shard.bucket.clear(issue_now_ms));
            // Without a lease this controller may have missed changes, so earlier placements prove no ownership.
            if let Some(newest) = self.placements.pop_back() {
                self.placements.clear();
                self.placements.push_back(Placement { since: issue_now_ms, ..newest });
            }
        }
    }

    fn update_placement(&mut self, eligible: Vec<EligibleOwner>) {
        let own_ip = self.own_ip.clone();
        let (before, after) = (self.shard_count(), shard_count(&eligible));
        self.shards.retain(|tenant, _| owns(&own_ip, tenant, &eligible));
        if after < before {
            // A shard whose share grows must not issue tokens at the higher rate for the time before.
            let issue_now_ms = self.clock.issue_time_ms();
            self.shards.values_mut().for_each(|shard| shard.bucket.refill(&shard.quota.shard(before), issue_now_ms));
        }
        self.placements.push_back(Placement { since: self.clock.issue_time_ms(), eligible });
        while self.placements.len() > MAX_PLACEMENTS {
            self.placements.pop_front();
        }
    }

    fn shard_count(&self) -> usize {
        self.placements.back().map_or(1, |newest| shard_count(&newest.eligible))
    }

    /// Returns the issue time since which this controller has owned a shard of a tenant, if it owns one.
    fn owned_since(&self, tenant: &str) -> Option<u64> {
        let owned =
            self.placements.iter().rev().take_while(|placement| owns(&self.own_ip, tenant, &placement.eligible));
        owned.last().map(|oldest| oldest.since)
    }

    /// Takes a token from a tenant's shard, if there is one. Times are in monotonic milliseconds; `confirmed_at` is the
    /// start of the last read that confirmed this controller.
    pub fn try_acquire(&mut self, tenant: &str, quota: Quota, now: u64, confirmed_at: Option<u64>) -> TokenDecision {
        self.advance(now, confirmed_at);
        if !self.clock.has_lease(now) {
            return TokenDecision::NotOwner;
        }
        let issue_now_ms = self.clock.issue_time_ms();
        let shard_quota = quota.shard(self.shard_count());
        if !self.shards.contains_key(tenant) {
            let Some(since) = self.owned_since(tenant) else { return TokenDecision::NotOwner };
            #[cfg(test)]
            let since = if self.starts_full { 0 } else { since };
            let shard = Shard { bucket: TokenBucket::empty(since), quota, granted: 0, denied: 0, used_at: now };
            self.shards.insert(tenant.into(), shard);
        }
        let Some(shard) = self.shards.get_mut(tenant) else { return TokenDecision::NotOwner };
        (shard.quota, shard.used_at) = (quota, now);
        shard.bucket.refill(&shard_quota, issue_now_ms);
        if shard.bucket.try_acquire() {
            shard.granted += 1;
            return TokenDecision::Granted;
        }
        shard.denied += 1;
        TokenDecision::Denied { retry_after_ms: shard.bucket.next_token_ms(&shard_quota) }
    }

    /// Returns the counters of the shards owned by this controller that had requests.
    pub fn counters(&self) -> Vec<ShardCounters> {
        let counters = self.shards.iter().map(|(tenant, shard)| ShardCounters {
            tenant: tenant.clone(),
            quota: shard.quota,
            granted: shard.granted,
            denied: shard.denied,
            tokens: shard.bucket.tokens(),
        });
        counters.collect()
    }
}

fn shard_count(eligible: &[EligibleOwner]) -> usize {
    eligible.len().clamp(1, SHARDS)
}

fn owns(own_ip: &str, tenant: &str, eligible: &[EligibleOwner]) -> bool {
    shard_owners(tenant, eligible).iter().any(|owner| owner.ip == own_ip)
}

#[cfg(test)]
#[path = "shards_tests.rs"]
mod tests;
