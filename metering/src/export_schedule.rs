//! When the counts of a window are agreed on.

use std::collections::BTreeSet;

use crate::export_state::ExportState;
use crate::{window_at, window_end_ms, WindowId};

/// How long after its end a window is collected, in milliseconds: routers report twice a second.
const SETTLE_MS: u64 = 2500;
/// So long before its counts are due a window is agreed on without controllers that do not answer, in milliseconds.
const MARGIN_MS: u64 = 2500;
/// How long a window waits for a zone of which no controller answers, in milliseconds: it may be cut off and count on.
const PARTITION_WAIT_MS: u64 = 60_000;
/// Windows that ended earlier than this are not collected any more, in milliseconds.
const MAX_AGE_MS: u64 = 120_000;

/// Whose counts were not to be had.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingReports {
    /// Controllers that did not answer, or may lack reports of their routers.
    pub controllers: usize,
    /// No controller of some zone answered.
    pub is_zone_missing: bool,
}

/// The times by which windows are collected and agreed on, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ExportSchedule {
    /// The length of a window.
    pub window_ms: u64,
    /// How long after its end the counts of a window are due.
    pub delay_ms: u64,
}

impl ExportSchedule {
    /// Returns the windows that have ended and settled at a time of day, and on which nothing is agreed; `empty` are those in
    /// which nothing began.
    pub fn due_windows(&self, state: &ExportState, empty: &BTreeSet<WindowId>, time_ms: u64) -> Vec<WindowId> {
        let first = self.first_collected(time_ms);
        let last = window_at(time_ms.saturating_sub(SETTLE_MS), self.window_ms);
        (first..last).filter(|window| state.is_open(*window) && !empty.contains(window)).collect()
    }

    /// Returns the oldest window that is still collected at a time of day.
    pub fn first_collected(&self, time_ms: u64) -> WindowId {
        window_at(time_ms.saturating_sub(MAX_AGE_MS), self.window_ms)
    }

    /// Returns how long ago a window ended at a time of day.
    pub fn age_ms(&self, window: WindowId, time_ms: u64) -> u64 {
        time_ms.saturating_sub(window_end_ms(window, self.window_ms))
    }

    /// Returns whether a window is to be agreed on with what was collected, so long after its end.
    pub fn is_ready(&self, missing: MissingReports, age_ms: u64) -> bool {
        match (missing.controllers, missing.is_zone_missing) {
            (0, _) => true,
            (_, true) => age_ms >= PARTITION_WAIT_MS,
            (_, false) => age_ms + MARGIN_MS >= self.delay_ms,
        }
    }
}

#[cfg(test)]
#[path = "export_schedule_tests.rs"]
mod tests;
