//! The monotonic clock, in whole milliseconds since its first use in this process.
//!
//! The time of day differs between machines and may jump. It is used only for the windows in which requests are
//! counted.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static STARTED_AT: OnceLock<Instant> = OnceLock::new();

/// Returns the milliseconds since the first call in this process; never decreases.
pub fn now() -> u64 {
    STARTED_AT.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Returns the machine's wall-clock time in milliseconds since the Unix epoch; it may jump.
pub fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
