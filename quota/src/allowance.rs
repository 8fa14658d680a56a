//! What a router may send on its own while no owner of a tenant's shards answers it.
//!
//! The allowances of all routers add up to a fixed multiple of the headroom that the bound leaves above the limit. So all
//! routers may use them at once while no owner issues tokens, or some of them while owners issue tokens to the others. A small
//! limit gives less than one request to a router and window: then a hash draws the routers that have one, which needs no
//! communication.

use std::collections::{HashMap, VecDeque};

use kernel::hashing;

use crate::bucket::MS_PER_S;
use crate::Quota;

/// The bound on the sum of requests over all routers.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Length of the windows over which requests are summed, in milliseconds.
    pub window_ms: u64,
    /// Share of the limit by which the sum may exceed it.
    pub overage: f64,
    /// Requests by which the sum may exceed the limit besides.
    pub slack: f64,
}

impl Bounds {
    /// Returns the requests that the limit itself allows in a window.
    fn limit(&self, quota: &Quota) -> f64 {
        let window_s = self.window_ms as f64 / MS_PER_S;
        quota.rate_per_s * window_s + quota.burst
    }

    /// Returns the requests in a window that the bound leaves above the limit.
    fn headroom(&self, quota: &Quota) -> f64 {
        self.limit(quota) * self.overage + self.slack
    }

    /// Returns the most requests in a window that the bound allows.
    pub fn max_requests(&self, quota: &Quota) -> f64 {
        self.limit(quota) + self.headroom(quota)
    }
}

/// All routers together may send this many times the headroom. So three of five of them may be partitioned from the owners
/// while the others get all of the limit, and all of them while no owner issues tokens for a second.
const MAX_MULTIPLE_OF_HEADROOM: f64 = 1.6;
/// All routers together never send more than this share of the bound on their own; draws may exceed it a little.
const MAX_SHARE_OF_BOUND: f64 = 0.6;

/// The allowances of one router, for each tenant.
pub struct Allowances {
    bounds: Bounds,
    /// Makes the draws of this router differ from those of others.
    router_hash: u64,
    /// When requests were sent, by tenant. Invariant: none is older than a window.
    sent: HashMap<String, VecDeque<u64>>,
}

impl Allowances {
    /// Returns unused allowances of the router with this hash.
    pub fn new(bounds: Bounds, router_hash: u64) -> Allowances {
        Allowances { bounds, router_hash, sent: HashMap::new() }
    }

    /// Returns how many requests this router may send on its own in any window that ends now.
    fn max_in_window(&self, tenant: &str, quota: &Quota, routers: u32, now: u64) -> usize {
        let total = (MAX_MULTIPLE_OF_HEADROOM * self.bounds.headroom(quota))
            .min(MAX_SHARE_OF_BOUND * self.bounds.max_requests(quota));
        let share = total / f64::from(routers.max(1));
        let guaranteed = share.floor();
        let window = now / self.bounds.window_ms.max(1);
        let seed = hashing::combine(self.router_hash, hashing::hash(tenant.as_bytes()));
        let draw = hashing::combine(seed, window) as f64 / u64::MAX as f64;
        guaranteed as usize + usize::from(draw < share - guaranteed)
    }

    /// Returns whether one more request may be sent within the allowance, and counts it if so.
    ///
    /// `routers` is the number of routers that share the allowance, `now` a steady time in milliseconds.
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
