//! The steady clock, in whole milliseconds since the process began.
//!
//! The time of day is used for nothing but the windows in which requests are counted, and there with care: machines disagree on it and it
//! jumps.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static STARTED_AT: OnceLock<Instant> = OnceLock::new();

/// Returns the milliseconds since the first call in this process; never goes back.
pub fn now() -> u64 {
    STARTED_AT.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Returns the machine's time of day in milliseconds since the start of 1970; it may jump.
pub fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
