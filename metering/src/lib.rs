//! Metering: how many requests of each tenant began in each window of time, told to the platform once.
//!
//! [`AnchoredClock`] gives the windows a time that does not follow the steps of one machine's clock. [`RequestCounter`] counts at
//! a router, [`CountTables`] merge what routers report, and [`ExportState`] is what is agreed on before anything is told. All are
//! pure: the time comes in with each call. The design is in `docs/usage.md`.

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

/// The number of a window: it begins this many window lengths after the start of 1970.
pub type WindowId = u64;

/// Returns the window of a time of day, both in milliseconds.
pub fn window_at(time_ms: u64, window_ms: u64) -> WindowId {
    time_ms / window_ms.max(1)
}

/// Returns when a window ends, as a time of day in milliseconds.
pub fn window_end_ms(window: WindowId, window_ms: u64) -> u64 {
    (window + 1) * window_ms
}
