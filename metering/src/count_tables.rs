//! What routers reported, merged: for each window, router process and tenant the highest count that came.

use std::collections::BTreeMap;

use protocol::metering::{RouterCounts, TenantCount, WindowCounts};

use crate::WindowId;

/// Windows further from the present than this many are not kept.
const KEPT_WINDOWS: u64 = 30;

type Tenants = BTreeMap<String, u64>;

/// Counts by window and router process. Merging takes the highest count of each, so that it does not matter how often, in which
/// order and by which way reports come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CountTables(BTreeMap<WindowId, BTreeMap<u64, Tenants>>);

impl CountTables {
    /// Merges a report. Windows far from `present` are passed over: the sender's time is wrong, or they are long over.
    pub fn merge(&mut self, report: &RouterCounts, present: WindowId) {
        for WindowCounts { window, tenants } in &report.windows {
            if window.abs_diff(present) > KEPT_WINDOWS {
                continue;
            }
            let known = self.0.entry(*window).or_default().entry(report.router).or_default();
            for TenantCount { tenant, count } in tenants {
                let highest = known.entry(tenant.clone()).or_default();
                *highest = (*highest).max(*count);
            }
        }
        self.0.retain(|window, _| window.abs_diff(present) <= KEPT_WINDOWS);
    }

    /// Returns the windows of which there are counts.
    pub fn windows(&self) -> impl Iterator<Item = WindowId> + '_ {
        self.0.keys().copied()
    }

    /// Returns the counts of some windows, by router process.
    pub fn select(&self, windows: &[WindowId]) -> Vec<RouterCounts> {
        let mut routers: BTreeMap<u64, Vec<WindowCounts>> = BTreeMap::new();
        for (window, counts) in self.0.iter().filter(|(window, _)| windows.contains(window)) {
            for (router, tenants) in counts {
                let list = tenants.iter().map(|(tenant, count)| TenantCount { tenant: tenant.clone(), count: *count });
                let counts = WindowCounts { window: *window, tenants: list.collect() };
                routers.entry(*router).or_default().push(counts);
            }
        }
        routers.into_iter().map(|(router, windows)| RouterCounts { router, windows }).collect()
    }

    /// Returns the sum over all routers for one window, by tenant.
    pub fn totals(&self, window: WindowId) -> Vec<TenantCount> {
        let mut sums = Tenants::new();
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
