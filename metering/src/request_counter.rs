//! What one router counted: by window and tenant, and what of it the reader has not been told.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;

use protocol::metering::{TenantCount, WindowCounts};

use crate::WindowId;

/// A router keeps its counts for so many windows, and tells them again to a new reader.
const RETAINED_WINDOWS: u64 = 14;

/// Counts of one router process. Counts only grow, so that a report that comes twice or late changes nothing.
#[derive(Clone, Debug, Default)]
pub struct RequestCounter {
    counts: BTreeMap<WindowId, BTreeMap<String, u64>>,
    unreported: BTreeSet<(WindowId, String)>,
}

impl RequestCounter {
    /// Counts a request of a tenant that began to run in a window.
    pub fn record(&mut self, window: WindowId, tenant: &str) {
        let tenants = self.counts.entry(window).or_default();
        match tenants.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                tenants.insert(tenant.to_string(), 1);
            }
        }
        self.unreported.insert((window, tenant.to_string()));
        self.forget_before(window.saturating_sub(RETAINED_WINDOWS));
    }

    fn forget_before(&mut self, first: WindowId) {
        self.counts.retain(|window, _| *window >= first);
        self.unreported.retain(|(window, _)| *window >= first);
    }

    /// Marks the newest windows as not reported, so many of them.
    pub fn report_again(&mut self, windows: usize) {
        for (window, tenants) in self.counts.iter().rev().take(windows) {
            self.unreported.extend(tenants.keys().map(|tenant| (*window, tenant.clone())));
        }
    }

    /// Removes and returns what was not reported, as counts from the beginning of each window on.
    pub fn take_unreported(&mut self) -> Vec<WindowCounts> {
        let mut windows: BTreeMap<WindowId, Vec<TenantCount>> = BTreeMap::new();
        for (window, tenant) in mem::take(&mut self.unreported) {
            let count = self.counts.get(&window).and_then(|tenants| tenants.get(&tenant)).copied().unwrap_or(0);
            windows.entry(window).or_default().push(TenantCount { tenant, count });
        }
        windows.into_iter().map(|(window, tenants)| WindowCounts { window, tenants }).collect()
    }
}

#[cfg(test)]
#[path = "request_counter_tests.rs"]
mod tests;
