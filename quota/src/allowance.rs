//! What a router may send by itself while no holder of a tenant's shards answers it.
//!
//! The allowances of all routers add up to a multiple of what the bound leaves above the limit, so that they may be used by
//! all at once while nobody mints, or by some of them beside holders that mint for the others. A small limit gives less than one request a router and window:
//! then a hash draws the routers that have one, which needs no agreement.

use std::collections::{HashMap, VecDeque};

use kernel::hashing;

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
    fn spare(&self, quota: &Quota) -> f64 {
        self.limit(quota) * self.overage + self.slack
    }

    /// The most requests in a window.
    pub fn most(&self, quota: &Quota) -> f64 {
        self.limit(quota) + self.spare(quota)
    }
}

/// All routers together may send this many times what the bound leaves above the limit. So three of five of them may be cut
/// off while the others are given the whole limit, and all of them while nobody mints for a second.
const PART_OF_SPARE: f64 = 1.6;
/// And never more than this part of the whole bound, which draws by chance may exceed a little.
const PART_OF_ALL: f64 = 0.6;

/// The allowances of one router, by tenant.
pub struct Allowances {
    bounds: Bounds,
    /// What tells this router's draws from those of others.
    mark: u64,
    /// When requests were sent, by tenant. Invariant: none is older than a window.
    sent: HashMap<String, VecDeque<u64>>,
}

impl Allowances {
    /// Those of a router by its mark.
    pub fn new(bounds: Bounds, mark: u64) -> Allowances {
        Allowances { bounds, mark, sent: HashMap::new() }
    }

    /// How many requests this router may send by itself in any window that ends now.
    fn most(&self, tenant: &str, quota: &Quota, routers: u32, now: u64) -> usize {
        let all = (PART_OF_SPARE * self.bounds.spare(quota)).min(PART_OF_ALL * self.bounds.most(quota));
        let part = all / f64::from(routers.max(1));
        let whole = part.floor();
        let window = now / self.bounds.window_ms.max(1);
        let seed = hashing::combine(self.mark, hashing::hash(tenant.as_bytes()));
        let draw = hashing::combine(seed, window) as f64 / u64::MAX as f64;
        whole as usize + usize::from(draw < part - whole)
    }

    /// Takes one request of this router's own part, if there is one.
    pub fn take(&mut self, tenant: &str, quota: &Quota, routers: u32, now: u64) -> bool {
        let most = self.most(tenant, quota, routers, now);
        let window_ms = self.bounds.window_ms;
        self.sent.retain(|_, times| {
            times.retain(|time| now < time + window_ms);
            !times.is_empty()
        });
        let times = self.sent.entry(tenant.into()).or_default();
        if times.len() >= most {
            return false;
        }
        times.push_back(now);
        true
    }
}

#[cfg(test)]
#[path = "allowance_tests.rs"]
mod tests;
