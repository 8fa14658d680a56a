//! A wall-clock time that ignores short steps of the machine's wall clock.

/// Largest change of the offset between the two clocks that counts as drift and is applied at once, in milliseconds.
const MAX_DRIFT_MS: u64 = 250;
/// How long a step must last before it is applied, in milliseconds. A step that lasts this long corrects a wrong time.
const MIN_STEP_DURATION_MS: u64 = 60_000;

/// A wall-clock time that advances with the monotonic clock from an earlier reading.
///
/// Invariant: its offset from the monotonic clock changes only by at most `MAX_DRIFT_MS` at a time, or to an offset
/// that has lasted for `MIN_STEP_DURATION_MS`.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnchoredClock {
    /// Wall clock minus monotonic clock, in milliseconds; `None` before the first reading.
    offset_ms: Option<i64>,
    /// A step that is not applied yet: its offset, and the monotonic time at which it was first read, in milliseconds.
    pending_step: Option<(i64, u64)>,
}

impl AnchoredClock {
    /// Records a reading of both clocks and returns the adjusted wall-clock time, all in milliseconds.
    pub fn read(&mut self, wall_clock_ms: u64, monotonic_ms: u64) -> u64 {
        let measured_offset = wall_clock_ms as i64 - monotonic_ms as i64;
        let offset = *self.offset_ms.get_or_insert(measured_offset);
        if measured_offset.abs_diff(offset) <= MAX_DRIFT_MS {
            (self.offset_ms, self.pending_step) = (Some(measured_offset), None);
        } else {
            self.track_step(measured_offset, monotonic_ms);
        }
        (monotonic_ms as i64 + self.offset_ms.unwrap_or(measured_offset)).max(0) as u64
    }

    fn track_step(&mut self, measured_offset: i64, monotonic_ms: u64) {
        match self.pending_step {
            Some((pending_offset, since)) if measured_offset.abs_diff(pending_offset) <= MAX_DRIFT_MS => {
                if monotonic_ms >= since + MIN_STEP_DURATION_MS {
                    (self.offset_ms, self.pending_step) = (Some(measured_offset), None);
                }
            }
            _ => self.pending_step = Some((measured_offset, monotonic_ms)),
        }
    }
}

#[cfg(test)]
#[path = "anchored_clock_tests.rs"]
mod tests;
