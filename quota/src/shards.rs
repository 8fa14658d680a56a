//! The shards that one controller owns, through leases and changes of the eligible controllers.

use std::collections::{HashMap, VecDeque};

use crate::{shard_owners, EligibleOwner, IssueClock, Quota, TokenBucket, SHARDS};

/// The answer to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request may be sent.
    Granted,
    /// The shard is empty.
    Denied {
        /// Milliseconds until its next token at the earliest.
        retry_after_ms: u64,
    },
    /// This controller owns no shard of the tenant, or can't know that it still does.
    NotOwner,
}

/// What one shard has granted and denied.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardCounters {
    /// The tenant's name.
    pub tenant: String,
    /// The limit of all shards together, as of the last request here.
    pub quota: Quota,
    /// Tokens granted since this controller has owned the shard.
    pub granted: u64,
    /// Requests for a token that were denied.
    pub denied: u64,
    /// Tokens in the shard.
    pub tokens: f64,
}

/// One tenant's shard at this controller.
struct Shard {
    bucket: TokenBucket,
    quota: Quota,
    granted: u64,
    denied: u64,
    /// Steady time of the last request, in milliseconds.
    used_at: u64,
}

/// A list of eligible controllers, and the issue time from which it is in force.
struct Placement {
    since: u64,
    eligible: Vec<EligibleOwner>,
}

/// How many lists of eligible controllers are kept. They show since when a shard is owned here that nobody asked for yet.
const MAX_PLACEMENTS: usize = 8;
/// A shard without requests for so long is dropped; it would be full.
const IDLE_EXPIRY_MS: u64 = 600_000;

/// The shards of one controller. Invariant: `shards` has buckets only of tenants whose shard this controller owns by the newest
/// placement.
pub struct Shards {
    own_ip: String,
    clock: IssueClock,
    placements: VecDeque<Placement>,
    shards: HashMap<String, Shard>,
    /// Injects the fault that a bucket which starts empty prevents.
    #[cfg(test)]
    pub(crate) starts_full: bool,
}

impl Shards {
    /// Returns the shards of a controller that has just started: it owns none before its first lease.
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

    /// Records the eligible controllers as this one sees them, and the start of the last read that confirmed this one, in steady
    /// milliseconds. To be called at each heartbeat, much more often than a lease ends.
    pub fn refresh(&mut self, now: u64, confirmed_at: Option<u64>, mut eligible: Vec<EligibleOwner>) {
        self.advance(now, confirmed_at);
        eligible.sort();
        if self.placements.back().is_none_or(|newest| newest.eligible != eligible) {
            self.update_placement(eligible);
        }
        self.shards.retain(|_, shard| now < shard.used_at + IDLE_EXPIRY_MS);
    }

    fn advance(&mut self, now: u64, confirmed_at: Option<u64>) {
        if self.clock.advance(now, confirmed_at) {
            let issue_now_ms = self.clock.issue_time_ms();
            self.shards.values_mut().for_each(|shard| shard.bucket.clear(issue_now_ms));
            // Without a lease this controller may have missed changes: earlier placements prove nothing.
            if let Some(newest) = self.placements.pop_back() {
                self.placements.clear();
                self.placements.push_back(Placement { since: issue_now_ms, ..newest });
            }
        }
    }

    fn update_placement(&mut self, eligible: Vec<EligibleOwner>) {
        let own_ip = self.own_ip.clone();
        let (before, after) = (self.share_count(), share_count(&eligible));
        self.shards.retain(|tenant, _| owns(&own_ip, tenant, &eligible));
        if after < before {
            // A share that grows must not issue more for the time before.
            let issue_now_ms = self.clock.issue_time_ms();
            self.shards.values_mut().for_each(|shard| shard.bucket.refill(&shard.quota.shard(before), issue_now_ms));
        }
        self.placements.push_back(Placement { since: self.clock.issue_time_ms(), eligible });
        while self.placements.len() > MAX_PLACEMENTS {
            self.placements.pop_front();
        }
    }

    fn share_count(&self) -> usize {
        self.placements.back().map_or(1, |newest| share_count(&newest.eligible))
    }

    /// Returns the issue time since which this controller owns a shard of a tenant, if it owns one.
    fn owned_since(&self, tenant: &str) -> Option<u64> {
        let owned =
            self.placements.iter().rev().take_while(|placement| owns(&self.own_ip, tenant, &placement.eligible));
        owned.last().map(|oldest| oldest.since)
    }

    /// Takes a token of a tenant's shard, if there is one. Times are in steady milliseconds; `confirmed_at` is the start of the
    /// last read that confirmed this controller.
    pub fn try_acquire(&mut self, tenant: &str, quota: Quota, now: u64, confirmed_at: Option<u64>) -> TokenDecision {
        self.advance(now, confirmed_at);
        if !self.clock.has_lease(now) {
            return TokenDecision::NotOwner;
        }
        let issue_now_ms = self.clock.issue_time_ms();
        let share = quota.shard(self.share_count());
        if !self.shards.contains_key(tenant) {
            let Some(since) = self.owned_since(tenant) else { return TokenDecision::NotOwner };
            #[cfg(test)]
            let since = if self.starts_full { 0 } else { since };
            let shard = Shard { bucket: TokenBucket::empty(since), quota, granted: 0, denied: 0, used_at: now };
            self.shards.insert(tenant.into(), shard);
        }
        let Some(shard) = self.shards.get_mut(tenant) else { return TokenDecision::NotOwner };
        (shard.quota, shard.used_at) = (quota, now);
        shard.bucket.refill(&share, issue_now_ms);
        if shard.bucket.try_acquire() {
            shard.granted += 1;
            return TokenDecision::Granted;
        }
        shard.denied += 1;
        TokenDecision::Denied { retry_after_ms: shard.bucket.next_token_ms(&share) }
    }

    /// Returns what the shards owned here have granted and denied.
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

fn share_count(eligible: &[EligibleOwner]) -> usize {
    eligible.len().clamp(1, SHARDS)
}

fn owns(own_ip: &str, tenant: &str, eligible: &[EligibleOwner]) -> bool {
    shard_owners(tenant, eligible).iter().any(|owner| owner.ip == own_ip)
}

#[cfg(test)]
#[path = "shards_tests.rs"]
mod tests;
