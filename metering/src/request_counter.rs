//! Request counts of one router by window and tenant, and which of them are not reported yet.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;

use protocol::metering::{TenantCount, WindowCounts};

use crate::WindowId;

/// How many windows before the current one are kept, so that they can be reported again to a new reader.
const RETAINED_WINDOWS: u64 = 14;

/// Counts of one router process. Counts only grow, so duplicate and late reports have no effect.
#[derive(Clone, Debug, Default)]
pub struct RequestCounter {
    counts: BTreeMap<WindowId, BTreeMap<String, u64>>,
    /// Counts that changed since the last report.
    unreported: BTreeSet<(WindowId, String)>,
}

impl RequestCounter {
    /// Counts a request of a tenant that began in a window, and removes windows that are too old.
    pub fn record(&mut self, window: WindowId, tenant: &str) {
        let tenants = self.counts.entry(window).or_default();
        match tenants.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                tenants.insert(tenant.to_string(), 1);
            }
        }
        self.unreported.insert((window, tenant.to_string()));
        self.remove_before(window.saturating_sub(RETAINED_WINDOWS));
    }

    fn remove_before(&mut self, first: WindowId) {
        self.counts.retain(|window, _| *window >= first);
        self.unreported.retain(|(window, _)| *window >= first);
    }

    /// Marks the newest `windows` windows as unreported.
    pub fn report_again(&mut self, windows: usize) {
        for (window, tenants) in self.counts.iter().rev().take(windows) {
            self.unreported.extend(tenants.keys().map(|tenant| (*window, tenant.clone())));
        }
    }

    /// Returns the unreported counts, each cumulative since the start of its window, and marks them as reported.
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
