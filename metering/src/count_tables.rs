//! Merged reports of routers: the highest reported count for each window, router process and tenant.

use std::collections::BTreeMap;

use protocol::metering::{RouterCounts, TenantCount, WindowCounts};

use crate::WindowId;

/// Maximum distance of a kept window from the present one, in windows.
const MAX_WINDOW_DISTANCE: u64 = 30;

/// Counts by tenant.
type TenantCounts = BTreeMap<String, u64>;

/// Counts by window and router process. Merging keeps the highest count of each tenant, so the result does not depend
/// on the order of reports, on duplicates or on the controllers that forwarded them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CountTables(BTreeMap<WindowId, BTreeMap<u64, TenantCounts>>);

impl CountTables {
    /// Merges a report. Windows far from `present` are ignored: either the sender's clock is wrong, or they ended long
    /// ago.
    pub fn merge(&mut self, report: &RouterCounts, present: WindowId) {
        for WindowCounts { window, tenants } in &report.windows {
            if window.abs_diff(present) > MAX_WINDOW_DISTANCE {
                continue;
            }
            let known = self.0.entry(*window).or_default().entry(report.router).or_default();
            for TenantCount { tenant, count } in tenants {
                let highest = known.entry(tenant.clone()).or_default();
                *highest = (*highest).max(*count);
            }
        }
        self.0.retain(|window, _| window.abs_diff(present) <= MAX_WINDOW_DISTANCE);
    }

    /// Returns the windows that have counts.
    pub fn windows(&self) -> impl Iterator<Item = WindowId> + '_ {
        self.0.keys().copied()
    }

    /// Returns the counts of the given windows, by router process.
    pub fn select(&self, windows: &[WindowId]) -> Vec<RouterCounts> {
        let mut routers: BTreeMap<u64, Vec<WindowCounts>> = BTreeMap::new();
        for (window, counts) in self.0.iter().filter(|(window, _)| windows.contains(window)) {
            for (router, tenants) in counts {
                let tenant_counts =
                    tenants.iter().map(|(tenant, count)| TenantCount { tenant: tenant.clone(), count: *count });
                let counts = WindowCounts { window: *window, tenants: tenant_counts.collect() };
                routers.entry(*router).or_default().push(counts);
            }
        }
        routers.into_iter().map(|(router, windows)| RouterCounts { router, windows }).collect()
    }

    /// Returns the total counts of one window over all router processes, by tenant.
    pub fn totals(&self, window: WindowId) -> Vec<TenantCount> {
        let mut sums = TenantCounts::new();
        for tenants in self.0.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (tenant, count) in tenants {
                *sums.entry(tenant.clone()).or_default() += count;
            }
        }
        sums.into_iter().map(|(tenant, count)| TenantCount { tenant, count }).collect()
    }
}

#[cfg(test)]
#[path = "count_tables_tests.rs"]
mod tests;
