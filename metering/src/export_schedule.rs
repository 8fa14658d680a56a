//! Schedule by which the counts of a window are collected and committed.

use std::collections::BTreeSet;

use crate::export_state::ExportState;
use crate::{window_at, window_end_ms, WindowId};

/// Delay between the end of a window and its first collection, in milliseconds: routers report twice a second.
const SETTLE_MS: u64 = 2500;
/// How long before its deadline a window is committed without the counts of controllers that did not answer, in
/// milliseconds.
const DEADLINE_MARGIN_MS: u64 = 2500;
/// How long a window waits for a zone in which no controller answers, in milliseconds: the zone may be partitioned and
/// go on counting.
const PARTITION_WAIT_MS: u64 = 60_000;
/// Maximum age of a window that is still collected, in milliseconds.
const MAX_AGE_MS: u64 = 120_000;

/// Reports that are missing from a collection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingReports {
    /// Number of controllers that did not answer or may lack reports of their routers.
    pub controllers: usize,
    /// Whether there is a zone in which no controller answered.
    pub is_zone_missing: bool,
}

/// Determines when windows are collected and committed. All times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ExportSchedule {
    /// Length of a window.
    pub window_ms: u64,
    /// Deadline for the counts of a window, after the end of the window.
    pub delay_ms: u64,
}

impl ExportSchedule {
    /// Returns the windows to collect at a wall-clock time: those that ended at least `SETTLE_MS` and at most
    /// `MAX_AGE_MS` ago, are not committed yet and are not in `empty`, the windows in which no request began.
    pub fn due_windows(&self, state: &ExportState, empty: &BTreeSet<WindowId>, time_ms: u64) -> Vec<WindowId> {
        let first = self.first_collected(time_ms);
        let last = window_at(time_ms.saturating_sub(SETTLE_MS), self.window_ms);
        (first..last).filter(|window| state.is_open(*window) && !empty.contains(window)).collect()
    }

    /// Returns the oldest window that is still collected at a wall-clock time.
    pub fn first_collected(&self, time_ms: u64) -> WindowId {
        window_at(time_ms.saturating_sub(MAX_AGE_MS), self.window_ms)
    }

    /// Returns the time since the end of a window at a wall-clock time; 0 if it has not ended.
    pub fn age_ms(&self, window: WindowId, time_ms: u64) -> u64 {
        time_ms.saturating_sub(window_end_ms(window, self.window_ms))
    }

    /// Returns whether a window that ended `age_ms` ago should be committed despite the `missing` reports.
    pub fn is_ready(&self, missing: MissingReports, age_ms: u64) -> bool {
        match (missing.controllers, missing.is_zone_missing) {
            (0, _) => true,
            (_, true) => age_ms >= PARTITION_WAIT_MS,
            (_, false) => age_ms + DEADLINE_MARGIN_MS >= self.delay_ms,
        }
    }
}

#[cfg(test)]
#[path = "export_schedule_tests.rs"]
mod tests;
