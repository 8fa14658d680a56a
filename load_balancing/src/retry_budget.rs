//! Slices of bounds that all routers share. No router asks for leave: each keeps to a slice, and the
//! slices never add up to more than the bound, whatever fails.

use std::collections::{HashMap, VecDeque};

use crate::sliding_window::drop_before;

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

#[cfg(test)]
#[path = "retry_budget_tests.rs"]
mod tests;
