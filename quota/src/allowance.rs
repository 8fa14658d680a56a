//! What a router may send by itself while no holder of a tenant's shards answers it.
//!
//! The allowances of all routers add up to a multiple of what the bound leaves above the limit, so that they may be used by
//! all at once while nobody mints, or by some of them beside shard_owners that mint for the others. A small limit gives less than one request a router and window:
//! then a hash draws the routers that have one, which needs no agreement.

use std::collections::{HashMap, VecDeque};

use kernel::clock;

use crate::Quota;

/// The figures by which the sum over all routers is bound.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The length of the windows over which requests are summed.
    pub window_ms: u64,
    /// The part of the limit that the sum may exceed it by.
    pub overage: f64,
    /// And so many requests besides.
    pub slack: f64,
}

impl Bounds {
    /// What the limit itself comes to in a window.
    fn limit(&self, quota: &Quota) -> f64 {
        let window_s = self.window_ms as f64 / 1000.0;
        quota.rate_per_s * window_s + quota.burst
    }

    /// What the bound leaves above the limit.
    fn headroom(&self, quota: &Quota) -> f64 {
        self.limit(quota) * self.overage + self.slack
    }

    /// The most requests in a window.
    pub fn max_requests(&self, quota: &Quota) -> f64 {
        self.limit(quota) + self.headroom(quota)
    }
}

/// All routers together may send this many times what the bound leaves above the limit. So three of five of them may be cut
/// off while the others are given the guaranteed limit, and all of them while nobody mints for a second.
const MAX_MULTIPLE_OF_HEADROOM: f64 = 1.6;
/// And never more than this part of the guaranteed bound, which draws by chance may exceed a little.
const MAX_SHARE_OF_BOUND: f64 = 0.6;

/// The allowances of one router, by tenant.
pub struct Allowances {
    bounds: Bounds,
    /// What tells this router's draws from those of others.
    router_hash: u64,
    /// When requests were sent, by tenant. Invariant: none is older than a window.
    sent: HashMap<String, VecDeque<u64>>,
}

impl Allowances {
    /// Those of a router by its router_hash.
    pub fn new(bounds: Bounds, router_hash: u64) -> Allowances {
        Allowances { bounds, router_hash, sent: HashMap::new() }
    }

    /// How many requests this router may send by itself in any window that ends now.
    fn max_in_window(&self, tenant: &str, quota: &Quota, routers: u32, now: u64) -> usize {
        let total = (MAX_MULTIPLE_OF_HEADROOM * self.bounds.headroom(quota))
            .min(MAX_SHARE_OF_BOUND * self.bounds.max_requests(quota));
        let share = total / f64::from(routers.max(1));
        let guaranteed = share.floor();
        let window = now / self.bounds.window_ms.max(1);
        let seed = clock::combine_hashes(self.router_hash, clock::hash(tenant.as_bytes()));
        let draw = clock::combine_hashes(seed, window) as f64 / u64::MAX as f64;
        guaranteed as usize + usize::from(draw < share - guaranteed)
    }

    /// Takes one request of this router's own part, if there is one.
    pub fn try_acquire(&mut self, tenant: &str, quota: &Quota, routers: u32, now: u64) -> bool {
        let max = self.max_in_window(tenant, quota, routers, now);
        let window_ms = self.bounds.window_ms;
        self.sent.retain(|_, times| {
            times.retain(|time| now < time + window_ms);
            !times.is_empty()
        });
        let times = self.sent.entry(tenant.into()).or_default();
        if times.len() >= max {
            return false;
        }
        times.push_back(now);
        true
    }
}

#[cfg(test)]
#[path = "allowance_tests.rs"]
mod tests;
