//! What the platform was told of usage, and what had to be told: one value for a window, one holder at a time, the truth.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::Value;

use crate::engine::EngineLog;

/// The length of a window in the settings of the daemons.
pub const WINDOW: Duration = Duration::from_secs(3);
/// How long holders may not take turns, in the settings of the daemons.
pub const LEASE: Duration = Duration::from_secs(3);
/// By how much a count may be off: requests around the ends of a window, and a share of all.
const TOLERANCE: f64 = 3.0;
const TOLERANCE_SHARE: f64 = 0.05;

/// One call that the platform took.
#[derive(Clone, Debug)]
struct Call {
    at: Instant,
    holder: String,
    fence: u64,
    window: u64,
    body: String,
}

/// All calls in the order in which they came.
#[derive(Default)]
pub struct UsageLog(Mutex<Vec<Call>>);

impl UsageLog {
    /// Notes a call.
    pub fn record(&self, holder: &str, fence: &str, body: &[u8]) {
        let body = String::from_utf8_lossy(body).into_owned();
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let window = value["window_id"].as_u64().unwrap_or(0);
        let fence = fence.parse().unwrap_or(0);
        self.0.lock().push(Call { at: Instant::now(), holder: holder.into(), fence, window, body });
    }

    /// Returns how many windows were told.
    pub fn windows(&self) -> usize {
        self.told().len()
    }

    fn told(&self) -> BTreeMap<u64, String> {
        self.0.lock().iter().map(|call| (call.window, call.body.clone())).collect()
    }

    /// Returns what must not be: another value for a window, a fence of two holders or one that falls, holders that take turns
    /// inside a lease, counts that are off.
    pub fn faults(&self, engines: &EngineLog) -> Vec<String> {
        let calls = self.0.lock().clone();
        let mut faults = Vec::new();
        let mut bodies: BTreeMap<u64, &str> = BTreeMap::new();
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        for call in &calls {
            if *bodies.entry(call.window).or_insert(&call.body) != call.body {
                faults.push(format!("window {} was told with two values", call.window));
            }
            if *holders.entry(call.fence).or_insert(&call.holder) != call.holder {
                faults.push(format!("fence {} has two holders", call.fence));
            }
        }
        let falls = calls.windows(2).filter(|pair| pair[1].fence < pair[0].fence);
        faults.extend(falls.map(|pair| format!("fence {} after {}", pair[1].fence, pair[0].fence)));
        faults.extend(turns(&calls));
        faults.extend(wrong_counts(&self.told(), engines));
        faults
    }
}

/// Returns where a holder acted again inside a lease after another one had acted.
fn turns(calls: &[Call]) -> Vec<String> {
    let mut found = Vec::new();
    for (index, call) in calls.iter().enumerate() {
        let earlier = calls[..index].iter().rev().take_while(|earlier| call.at - earlier.at < LEASE);
        let mut others = earlier.skip_while(|earlier| earlier.holder == call.holder);
        if others.any(|earlier| earlier.holder == call.holder) {
            found.push(format!("{} acts again within a lease", call.holder));
        }
    }
    found
}

fn wrong_counts(told: &BTreeMap<u64, String>, engines: &EngineLog) -> Vec<String> {
    let mut truth: BTreeMap<(u64, String), u64> = BTreeMap::new();
    for (time_ms, tenant) in engines.begun() {
        *truth.entry((time_ms / WINDOW.as_millis() as u64, tenant)).or_default() += 1;
    }
    let mut faults = Vec::new();
    for ((window, tenant), begun) in truth {
        let Some(body) = told.get(&window) else { continue };
        let value: Value = serde_json::from_str(body).unwrap_or_default();
        let count = value["count_table"][&tenant].as_u64().unwrap_or(0);
        let allowed = (begun as f64 * TOLERANCE_SHARE).max(TOLERANCE);
        if count.abs_diff(begun) as f64 > allowed {
            faults.push(format!("window {window}: {count} requests of {tenant} were told, {begun} began"));
        }
    }
    faults
}

#[cfg(test)]
#[path = "usage_tests.rs"]
mod tests;
