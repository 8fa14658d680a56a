//! The retry budget: the number of retries that one router may send.
//!
//! The limit applies to all routers together, but they don't coordinate: each keeps to its share, and the shares never
//! exceed the limit in total, whatever fails. A router's share is the ratio times its own requests, which adds up to
//! the ratio of all requests, plus an equal part of half of the allowed slack. The other half of the slack is reserved
//! for routers that restart or are not counted yet.

use std::collections::{HashMap, VecDeque};

use crate::sliding_window::drop_before;

/// A retry budget per service.
///
/// Invariant: in any window that ends when a retry is granted, at most `ratio` * requests in that window + `allowance`
/// retries are granted.
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
    /// Creates a budget of `ratio` retries per request within a window of `window_ms` milliseconds.
    pub fn new(ratio: f64, window_ms: u64) -> RetryBudget {
        RetryBudget { ratio, window_ms, windows: HashMap::new() }
    }

    /// Records a client request to a service.
    pub fn record_request(&mut self, service: u32, now: u64) {
        let window_start = now.saturating_sub(self.window_ms);
        let window = self.windows.entry(service).or_default();
        drop_before(&mut window.requests, window_start);
        window.requests.push_back(now);
    }

    /// Returns whether a retry is granted, and counts it if so. `allowance` is this router's part of the slack, in
    /// retries per window.
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
