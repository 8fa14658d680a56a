//! What tenants sent in all, against their limits.

use super::{Fleet, BOUNDS};

/// A window in which a tenant sent more than the bound allows.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitViolation {
    pub tenant: String,
    /// The most requests sent in one window.
    pub sent: usize,
    /// What the bound allows in a window.
    pub allowed: f64,
}

impl Fleet {
    /// Returns the most requests that a tenant sent in any window.
    pub fn max_sent_in_window(&self, tenant: usize) -> usize {
        let mut times = self.sends[tenant].clone();
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

    /// Returns the first tenant that sent more than the bound in a window.
    pub fn first_violation(&self) -> Option<LimitViolation> {
        let usage = self.tenants.iter().enumerate().map(|(at, tenant)| LimitViolation {
            tenant: tenant.name.clone(),
            sent: self.max_sent_in_window(at),
            allowed: BOUNDS.max_requests(&tenant.quota),
        });
        usage.into_iter().find(|window| window.sent as f64 > window.allowed)
    }
}
