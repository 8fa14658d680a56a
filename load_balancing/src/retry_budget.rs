//! The retry budget: how many further sends one router may make.
//!
//! All routers share the bound, and none asks another for leave: each keeps to a slice, and the slices never add up to
//! more than the bound, whatever fails. A router's slice is the ratio of its own requests, so the slices add up to the
//! ratio of all requests, and an even part of half of the allowed slack. The other half of the slack is left for routers
//! that restart or are not counted yet.

use std::collections::{HashMap, VecDeque};

use crate::sliding_window::drop_before;

/// Invariant: within any window that ends at a grant, grants are at most `ratio` x requests of that window + allowance.
pub struct RetryBudget {
    ratio: f64,
    window_ms: u64,
    windows: HashMap<u32, ServiceWindow>,
}

/// The times of a service's requests and granted retries, in milliseconds.
#[derive(Default)]
struct ServiceWindow {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each request within `window_ms` milliseconds.
    pub fn new(ratio: f64, window_ms: u64) -> RetryBudget {
        RetryBudget { ratio, window_ms, windows: HashMap::new() }
    }

    /// Records a client's request to a service.
    pub fn record_request(&mut self, service: u32, now: u64) {
        let window_start = now.saturating_sub(self.window_ms);
        let window = self.windows.entry(service).or_default();
        drop_before(&mut window.requests, window_start);
        window.requests.push_back(now);
    }

    /// Grants one retry and returns true, or returns false when the budget is spent. `allowance` is this router's part of
    /// the slack, in retries a window.
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
