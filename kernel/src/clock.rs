//! The steady clock, in whole milliseconds since the process began.
//!
//! The time of day is never used for a decision: machines disagree on it and it jumps.

use std::sync::OnceLock;
use std::time::Instant;

static STARTED_AT: OnceLock<Instant> = OnceLock::new();

/// Returns the milliseconds since the first call in this process; never goes back.
pub fn now() -> u64 {
    STARTED_AT.get_or_init(Instant::now).elapsed().as_millis() as u64
}
