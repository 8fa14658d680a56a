//! The requests that tenants sent, compared with the bound.

use super::{Fleet, BOUNDS};

/// A window in which a tenant sent more than the bound allows.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundViolation {
    pub tenant: String,
    /// The maximum number of requests sent in one window.
    pub sent: usize,
    /// The number of requests that the bound allows in one window.
    pub allowed: f64,
}

impl Fleet {
    /// Returns the maximum number of requests that a tenant sent in any window.
    pub fn max_sent_in_window(&self, tenant: usize) -> usize {
        let mut times = self.send_times[tenant].clone();
        times.sort_unstable();
        let mut end = 0;
        let mut max = 0;
        for start in 0..times.len() {
            while end < times.len() && times[end] < times[start] + BOUNDS.window_ms {
                end += 1;
            }
            max = max.max(end - start);
        }
        max
    }

    /// Returns the violation of the first tenant that sent more than the bound allows in a window.
    pub fn first_violation(&self) -> Option<BoundViolation> {
        let usage = self.tenants.iter().enumerate().map(|(index, tenant)| BoundViolation {
            tenant: tenant.name.clone(),
            sent: self.max_sent_in_window(index),
            allowed: BOUNDS.max_requests(&tenant.quota),
        });
        usage.into_iter().find(|usage| usage.sent as f64 > usage.allowed)
    }
}
