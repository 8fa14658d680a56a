//! When a body that is being read has taken too long.

use crate::body::BodyLimits;

/// The interval at which the progress of a body is checked while memory is contended, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1000;
/// The number of bytes that must arrive in that interval.
const MIN_INTERVAL_BYTES: usize = 4096;

/// The progress of a body. Times are in milliseconds of the steady clock.
#[derive(Debug)]
pub struct BodyProgress {
    last_frame_at: u64,
    interval_started_at: u64,
    interval_bytes: usize,
}

impl BodyProgress {
    /// Starts to observe a body.
    pub fn start(now: u64) -> BodyProgress {
        BodyProgress { last_frame_at: now, interval_started_at: now, interval_bytes: 0 }
    }

    /// Records a frame with this many bytes.
    pub fn record_frame(&mut self, bytes: usize, now: u64) {
        self.last_frame_at = now;
        self.interval_bytes += bytes;
    }

    /// Returns for how long to wait for the next frame before [`has_timed_out`](Self::has_timed_out) is to be called.
    pub fn wait_ms(&self, limits: &BodyLimits, now: u64) -> u64 {
        let idle_at = self.last_frame_at + limits.idle_ms.max(1);
        let check_at = self.interval_started_at + CHECK_INTERVAL_MS;
        idle_at.min(check_at).min(limits.deadline_ms).saturating_sub(now)
    }

    /// Returns whether the body has taken too long: it is idle or past its deadline, or it has hardly progressed while
    /// `others_wait` for the memory that it holds.
    pub fn has_timed_out(&mut self, limits: &BodyLimits, now: u64, others_wait: bool) -> bool {
        if now >= limits.deadline_ms || now >= self.last_frame_at + limits.idle_ms.max(1) {
            return true;
        }
        if now < self.interval_started_at + CHECK_INTERVAL_MS {
            return false;
        }
        let is_stalled = self.interval_bytes < MIN_INTERVAL_BYTES;
        self.interval_started_at = now;
        self.interval_bytes = 0;
        is_stalled && others_wait
    }
}

#[cfg(test)]
#[path = "body_progress_tests.rs"]
mod tests;
