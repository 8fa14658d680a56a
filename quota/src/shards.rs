//! The shards that one controller holds.

use std::collections::{HashMap, VecDeque};

use crate::{shard_owners, EligibleOwner, MintClock, Quota, TokenBucket, SHARDS};

/// What a request for a token comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request may be sent.
    Granted,
    /// This shard is empty for so long at least.
    Denied {
        /// Milliseconds until its next token.
        retry_after_ms: u64,
    },
    /// This controller holds no shard of the tenant, or can't know that it still does.
    NotOwner,
}

/// What a shard has given and refused.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardCounters {
    /// The tenant's name.
    pub tenant: String,
    /// The whole limit, as it was last told here.
    pub quota: Quota,
    /// Tokens given since the shard is held here.
    pub granted: u64,
    /// Requests for a token that were refused.
    pub denied: u64,
    /// Tokens left in the shard.
    pub tokens: f64,
}

struct Shard {
    bucket: TokenBucket,
    quota: Quota,
    granted: u64,
    denied: u64,
    used_at: u64,
}

/// A list of live controllers, and the minting time from which it counts.
struct Placement {
    from: u64,
    live: Vec<EligibleOwner>,
}

/// How many lists of live controllers are remembered: by them it is told since when a shard is held that nobody asked for yet.
const MOST_PLACEMENTS: usize = 8;
/// A shard that nobody asks for is forgotten after this; it would be full.
const FORGET_MS: u64 = 600_000;

/// Invariant: `shards` holds buckets only of tenants whose shard this controller holds by the newest placement.
pub struct Shards {
    me: String,
    clock: MintClock,
    placements: VecDeque<Placement>,
    shards: HashMap<String, Shard>,
    /// The fault that a bucket which begins empty prevents.
    #[cfg(test)]
    pub(crate) begins_full: bool,
}

impl Shards {
    /// The shards of a controller that has just started: it holds none before its first lease.
    pub fn new(me: &str) -> Shards {
        Shards {
            me: me.into(),
            clock: MintClock::default(),
            placements: VecDeque::new(),
            shards: HashMap::new(),
            #[cfg(test)]
            begins_full: false,
        }
    }

    /// Notes who lives, as this controller sees it, and when it was last confirmed. To be called often.
    pub fn refresh(&mut self, now: u64, confirmed_at: Option<u64>, mut live: Vec<EligibleOwner>) {
        self.advance(now, confirmed_at);
        live.sort();
        if self.placements.back().is_none_or(|newest| newest.live != live) {
            self.place(live);
        }
        self.shards.retain(|_, shard| now < shard.used_at + FORGET_MS);
    }

    fn advance(&mut self, now: u64, confirmed_at: Option<u64>) {
        if self.clock.advance(now, confirmed_at) {
            let minting_now = self.clock.reading();
            self.shards.values_mut().for_each(|shard| shard.bucket.void(minting_now));
            // Who lived before says nothing about now.
            if let Some(newest) = self.placements.pop_back() {
                self.placements.clear();
                self.placements.push_back(Placement { from: minting_now, ..newest });
            }
        }
    }

    fn place(&mut self, live: Vec<EligibleOwner>) {
        let me = self.me.clone();
        let (before, after) = (self.share_count(), share_count(&live));
        self.shards.retain(|tenant, _| holds(&me, tenant, &live));
        if after < before {
            // A share that grows mints no more for the time before.
            let minting_now = self.clock.reading();
            self.shards.values_mut().for_each(|shard| shard.bucket.refill(&shard.quota.shard(before), minting_now));
        }
        self.placements.push_back(Placement { from: self.clock.reading(), live });
        while self.placements.len() > MOST_PLACEMENTS {
            self.placements.pop_front();
        }
    }

    fn share_count(&self) -> usize {
        self.placements.back().map_or(1, |newest| share_count(&newest.live))
    }

    /// The minting time since which this controller holds a shard of a tenant. None: it holds none.
    fn held_since(&self, tenant: &str) -> Option<u64> {
        let held = self.placements.iter().rev().take_while(|placement| holds(&self.me, tenant, &placement.live));
        held.last().map(|oldest| oldest.from)
    }

    /// Takes a token of a tenant, if there is one.
    pub fn try_acquire(&mut self, tenant: &str, quota: Quota, now: u64, confirmed_at: Option<u64>) -> TokenDecision {
        self.advance(now, confirmed_at);
        if !self.clock.holds_lease(now) {
            return TokenDecision::NotOwner;
        }
        let minting_now = self.clock.reading();
        let share = quota.shard(self.share_count());
        if !self.shards.contains_key(tenant) {
            let Some(since) = self.held_since(tenant) else { return TokenDecision::NotOwner };
            #[cfg(test)]
            let since = if self.begins_full { 0 } else { since };
            let shard = Shard { bucket: TokenBucket::empty(since), quota, granted: 0, denied: 0, used_at: now };
            self.shards.insert(tenant.into(), shard);
        }
        let Some(shard) = self.shards.get_mut(tenant) else { return TokenDecision::NotOwner };
        (shard.quota, shard.used_at) = (quota, now);
        shard.bucket.refill(&share, minting_now);
        if shard.bucket.take() {
            shard.granted += 1;
            return TokenDecision::Granted;
        }
        shard.denied += 1;
        TokenDecision::Denied { retry_after_ms: shard.bucket.next_token_ms(&share) }
    }

    /// What the shards held here have given.
    pub fn counters(&self) -> Vec<ShardCounters> {
        let told = self.shards.iter().map(|(tenant, shard)| ShardCounters {
            tenant: tenant.clone(),
            quota: shard.quota,
            granted: shard.granted,
            denied: shard.denied,
            tokens: shard.bucket.tokens(),
        });
        told.collect()
    }
}

fn share_count(live: &[EligibleOwner]) -> usize {
    live.len().clamp(1, SHARDS)
}

fn holds(me: &str, tenant: &str, live: &[EligibleOwner]) -> bool {
    shard_owners(tenant, live).iter().any(|holder| holder.ip == me)
}

#[cfg(test)]
#[path = "shards_tests.rs"]
mod tests;
