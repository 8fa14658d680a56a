//! Records the usage reports that the platform receives and checks them: one value for each window, one holder of the
//! role at a time, and correct counts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::Value;

use crate::engine::EngineLog;

/// Length of a usage window in the settings of the daemons.
pub const WINDOW: Duration = Duration::from_secs(3);
/// Lease of the usage export role in the settings of the daemons; within it, the role must not move to another holder
/// and back.
pub const LEASE: Duration = Duration::from_secs(3);
/// Tolerance of a count, in requests: those that start near the ends of a window may be counted in the adjacent one.
const TOLERANCE: f64 = 3.0;
/// Tolerance of a count as a fraction of the requests; the larger of the two tolerances applies.
const TOLERANCE_FRACTION: f64 = 0.05;

/// A usage report that the platform received.
#[derive(Clone, Debug)]
struct UsageReport {
    at: Instant,
    holder: String,
    fence: u64,
    window: u64,
    body: String,
}

/// All usage reports in order of arrival.
#[derive(Default)]
pub struct UsageLog(Mutex<Vec<UsageReport>>);

impl UsageLog {
    /// Records a usage report.
    pub fn record(&self, holder: &str, fence: &str, body: &[u8]) {
        let body = String::from_utf8_lossy(body).into_owned();
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let window = value["window_id"].as_u64().unwrap_or(0);
        let fence = fence.parse().unwrap_or(0);
        self.0.lock().push(UsageReport { at: Instant::now(), holder: holder.into(), fence, window, body });
    }

    /// Returns the number of distinct windows that were reported.
    pub fn window_count(&self) -> usize {
        self.bodies_by_window().len()
    }

    /// Returns the last reported body of each window.
    fn bodies_by_window(&self) -> BTreeMap<u64, String> {
        self.0.lock().iter().map(|report| (report.window, report.body.clone())).collect()
    }

    /// Returns all violations: [conflicts](Self::conflicts) and wrong counts.
    pub fn violations(&self, engines: &EngineLog) -> Vec<String> {
        let mut violations = self.conflicts();
        violations.extend(wrong_counts(&self.bodies_by_window(), engines));
        violations
    }

    /// Returns the violations other than wrong counts: two values for a window, a fencing token with two holders or lower
    /// than the one before, and a role that returns to a holder within a lease.
    pub fn conflicts(&self) -> Vec<String> {
        let reports = self.0.lock().clone();
        let mut violations = Vec::new();
        let mut bodies: BTreeMap<u64, &str> = BTreeMap::new();
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        for report in &reports {
            if *bodies.entry(report.window).or_insert(&report.body) != report.body {
                violations.push(format!("window {} was reported with two values", report.window));
            }
            if *holders.entry(report.fence).or_insert(&report.holder) != report.holder {
                violations.push(format!("fence {} has two holders", report.fence));
            }
        }
        let decreases = reports.windows(2).filter(|pair| pair[1].fence < pair[0].fence);
        violations.extend(decreases.map(|pair| format!("fence {} after {}", pair[1].fence, pair[0].fence)));
        violations.extend(returns_within_lease(&reports));
        violations
    }
}

/// Finds the reports of holders that had reported before another holder did, all within one lease.
fn returns_within_lease(reports: &[UsageReport]) -> Vec<String> {
    let mut returns = Vec::new();
    for (index, report) in reports.iter().enumerate() {
        let earlier = reports[..index].iter().rev().take_while(|earlier| report.at - earlier.at < LEASE);
        let mut others = earlier.skip_while(|earlier| earlier.holder == report.holder);
        if others.any(|earlier| earlier.holder == report.holder) {
            returns.push(format!("{} reports again within a lease", report.holder));
        }
    }
    returns
}

/// Compares the reported counts with the runs that the engines saw start.
fn wrong_counts(bodies: &BTreeMap<u64, String>, engines: &EngineLog) -> Vec<String> {
    let mut expected: BTreeMap<(u64, String), u64> = BTreeMap::new();
    for (time_ms, tenant) in engines.run_starts() {
        *expected.entry((time_ms / WINDOW.as_millis() as u64, tenant)).or_default() += 1;
    }
    let mut violations = Vec::new();
    for ((window, tenant), started) in expected {
        let Some(body) = bodies.get(&window) else { continue };
        let value: Value = serde_json::from_str(body).unwrap_or_default();
        let count = value["count_table"][&tenant].as_u64().unwrap_or(0);
        let allowed = (started as f64 * TOLERANCE_FRACTION).max(TOLERANCE);
        if count.abs_diff(started) as f64 > allowed {
            violations.push(format!("window {window}: {count} requests of {tenant} were reported, {started} started"));
        }
    }
    violations
}

#[cfg(test)]
#[path = "usage_tests.rs"]
mod tests;
