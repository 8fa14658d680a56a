//! Allowances of requests that a router may send without a token while no owner of a tenant's shards answers.
//!
//! The allowances of all routers add up to a fixed multiple of the headroom that the bound leaves above the limit. So
//! all routers may use them at once while no owner issues tokens, or some of them while owners issue tokens to the
//! others. If a small limit leaves less than one request per router and window, a hash selects the routers that get
//! one, which needs no communication.

use std::collections::{HashMap, VecDeque};

use kernel::hashing;

use crate::bucket::MS_PER_S;
use crate::Quota;

/// Parameters of the bound on the sum of requests over all routers.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Length of the sliding windows over which requests are summed, in milliseconds.
    pub window_ms: u64,
    /// Fraction of the limit by which the sum may exceed it.
    pub overage: f64,
    /// Number of requests by which the sum may exceed the limit in addition.
    pub slack: f64,
}

impl Bounds {
    /// Returns the number of requests in a window that the limit itself allows.
    fn limit(&self, quota: &Quota) -> f64 {
        let window_s = self.window_ms as f64 / MS_PER_S;
        quota.rate_per_s * window_s + quota.burst
    }

    /// Returns the number of requests in a window that the bound allows above the limit.
    fn headroom(&self, quota: &Quota) -> f64 {
        self.limit(quota) * self.overage + self.slack
    }

    /// Returns the maximum number of requests in a window.
    pub fn max_requests(&self, quota: &Quota) -> f64 {
        self.limit(quota) + self.headroom(quota)
    }
}

/// Sum of all routers' allowances, as a multiple of the headroom. The bound holds while three of five routers are
/// partitioned from the owners and the others get all of the limit, and while all are partitioned and no owner issues
/// tokens for a second.
const MAX_HEADROOM_MULTIPLE: f64 = 1.6;
/// Maximum sum of all routers' allowances, as a share of the bound. Pseudo-random rounding may exceed it slightly.
const MAX_BOUND_SHARE: f64 = 0.6;

/// The allowances of one router, by tenant.
pub struct Allowances {
    bounds: Bounds,
    /// Makes this router's pseudo-random rounding differ from that of others.
    router_hash: u64,
    /// Monotonic times at which requests were sent, in milliseconds, by tenant. Invariant: none is older than a window.
    sent: HashMap<String, VecDeque<u64>>,
}

impl Allowances {
    /// Returns the unused allowances of the router with this hash.
    pub fn new(bounds: Bounds, router_hash: u64) -> Allowances {
        Allowances { bounds, router_hash, sent: HashMap::new() }
    }

    /// Returns how many requests this router may send without a token in the window that ends now.
    fn max_in_window(&self, tenant: &str, quota: &Quota, routers: u32, now: u64) -> usize {
        let total = (MAX_HEADROOM_MULTIPLE * self.bounds.headroom(quota))
            .min(MAX_BOUND_SHARE * self.bounds.max_requests(quota));
        let share = total / f64::from(routers.max(1));
        let guaranteed = share.floor();
        let window = now / self.bounds.window_ms.max(1);
        let seed = hashing::combine(self.router_hash, hashing::hash(tenant.as_bytes()));
        let draw = hashing::combine(seed, window) as f64 / u64::MAX as f64;
        guaranteed as usize + usize::from(draw < share - guaranteed)
    }

    /// Returns whether one more request may be sent within the allowance, and counts it if so.
    ///
    /// `routers` is the number of routers that share the total allowance, `now` is monotonic time in milliseconds.
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
