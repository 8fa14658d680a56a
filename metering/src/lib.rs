//! Usage metering: counts the requests of each tenant that begin in each time window, and exports one final value per
//! window to the platform.
//!
//! [`AnchoredClock`] provides a wall-clock time that ignores short steps of the machine's clock.
//! [`RequestCounter`] counts at a router, [`CountTables`] merges the reports of routers, and [`ExportState`] holds the
//! counts that are committed before they are exported. All of them take the time as a parameter. The design is in
//! `docs/usage.md`.

#![deny(missing_docs)]

mod anchored_clock;
mod count_tables;
mod export_schedule;
mod export_state;
mod request_counter;

pub use anchored_clock::AnchoredClock;
pub use count_tables::CountTables;
pub use export_schedule::{ExportSchedule, MissingReports};
pub use export_state::{ExportState, ExportWindow, RETAINED_WINDOWS};
pub use request_counter::RequestCounter;

/// Number of a window, which begins this many window lengths after the Unix epoch.
pub type WindowId = u64;

/// Returns the window that contains a wall-clock time. Both the time and the window length are in milliseconds.
pub fn window_at(time_ms: u64, window_ms: u64) -> WindowId {
    time_ms / window_ms.max(1)
}

/// Returns the wall-clock time at which a window ends, in milliseconds.
pub fn window_end_ms(window: WindowId, window_ms: u64) -> u64 {
    (window + 1) * window_ms
}
