//! Slices of bounds that all routers share. No router asks for leave: each keeps to a slice, and the
//! slices never add up to more than the bound, whatever fails.

use std::collections::{HashMap, VecDeque};

/// Further sends. A router's slice is the ratio of its own requests, so the slices add up to the
/// ratio of all, and an even part of half the slack: the other half is left for routers that start
/// anew or are not yet counted. Invariant: within any window that ends at a grant, grants are at most
/// `ratio` x requests of that window + the part.
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    windows: HashMap<u32, ServiceWindow>,
}

#[derive(Default)]
struct ServiceWindow {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

fn drop_before(list: &mut VecDeque<u64>, window_start: u64) {
    while list.front().is_some_and(|time| *time < window_start) {
        list.pop_front();
    }
}

impl RetryBudget {
    pub fn new(ratio: f64, window_ms: u64) -> Self {
        RetryBudget { ratio, window_ms, windows: Default::default() }
    }

    pub fn record_request(&mut self, service: u32, now: u64) {
        let window_start = now.saturating_sub(self.window_ms);
        let window = self.windows.entry(service).or_default();
        drop_before(&mut window.requests, window_start);
        window.requests.push_back(now);
    }

    /// Grants one further send, or not.
    pub fn try_acquire(&mut self, service: u32, now: u64, allowance: f64) -> bool {
        let window_start = now.saturating_sub(self.window_ms);
        let window = self.windows.entry(service).or_default();
        drop_before(&mut window.requests, window_start);
        drop_before(&mut window.retries, window_start);
        if (window.retries.len() + 1) as f64 > self.ratio * window.requests.len() as f64 + allowance {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}

/// Sends to one cold engine: this router's part of what it bears in a second. While there are no more
/// routers than it bears requests, each has an even slice. With more, a slice would be below one, and one
/// each would be too many: then a few routers are drawn for this engine, by a hash that needs no agreement,
/// and only these send, one a second each. Invariant: at most the slice in any 1000 ms.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    sends: VecDeque<u64>,
}

/// A drawn router's pause: a little over a second, as sends do not arrive evenly.
const SAMPLED_ROUTER_INTERVAL_MS: u64 = 1100;

/// How many routers are drawn for a cold engine, on average: so few that their number, which is left to
/// chance, stays under the bound.
pub fn expected_senders(bound: f64) -> f64 {
    (bound - 3.0 * bound.sqrt()).max(bound / 5.0)
}

/// The part of the bound of a cold engine that a router without confirmed control state may use by itself.
const UNCONFIRMED_SHARE: f64 = 0.25;

impl SlowStart {
    /// May a router send to an engine that is not known to be cold, while it can't know of evacuations? In a
    /// zone that all others have left it may be the only sender, and engines there turn cold unheard.
    pub fn allows_unconfirmed(&self, bound: f64, router_count: u32, now: u64) -> bool {
        let most = (bound / f64::from(router_count.max(1))).max(bound * UNCONFIRMED_SHARE);
        let recent = self.sends.iter().rev().take_while(|sent| **sent + 1000 > now).count();
        ((recent + 1) as f64) <= most.max(1.0)
    }

    /// `router_hash`: this router's draw for this engine, even over all numbers.
    pub fn allows(&mut self, bound: f64, router_count: u32, router_hash: u64, now: u64) -> bool {
        let slice = bound / f64::from(router_count.max(1));
        let (span, most) = if slice >= 1.0 { (1000, slice.floor()) } else { (SAMPLED_ROUTER_INTERVAL_MS, 1.0) };
        if slice < 1.0 && router_hash as f64 / u64::MAX as f64 >= expected_senders(bound) / f64::from(router_count) {
            return false;
        }
        drop_before(&mut self.sends, (now + 1).saturating_sub(span));
        (self.sends.len() as f64) < most
    }

    pub fn record_send(&mut self, now: u64) {
        self.sends.push_back(now);
        if self.sends.len() > 4096 {
            self.sends.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
