//! A time of day that goes on steadily while the machine's own jumps.

/// A difference of the two clocks that is smaller than this is drift and followed at once, in milliseconds.
const MAX_DRIFT_MS: u64 = 250;
/// A jump is followed once it has lasted for so long, in milliseconds: then the time before it was the wrong one.
const JUMP_ACCEPTED_MS: u64 = 60_000;

/// The time of day as the steady clock carries it on from an earlier reading.
///
/// Invariant: its offset from the steady clock changes by a small drift, or to one that has lasted for a minute.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnchoredClock {
    /// The time of day less the steady clock; `None` before the first reading.
    offset_ms: Option<i64>,
    /// A jump: the offset that was read, and since when on the steady clock.
    jump: Option<(i64, u64)>,
}

impl AnchoredClock {
    /// Takes in a reading of both clocks, in milliseconds, and returns the time of day to go by.
    pub fn read(&mut self, time_of_day_ms: u64, steady_ms: u64) -> u64 {
        let found = time_of_day_ms as i64 - steady_ms as i64;
        let offset = *self.offset_ms.get_or_insert(found);
        if found.abs_diff(offset) <= MAX_DRIFT_MS {
            (self.offset_ms, self.jump) = (Some(found), None);
        } else {
            self.consider_jump(found, steady_ms);
        }
        (steady_ms as i64 + self.offset_ms.unwrap_or(found)).max(0) as u64
    }

    fn consider_jump(&mut self, found: i64, steady_ms: u64) {
        match self.jump {
            Some((offset, since)) if found.abs_diff(offset) <= MAX_DRIFT_MS => {
                if steady_ms >= since + JUMP_ACCEPTED_MS {
                    (self.offset_ms, self.jump) = (Some(found), None);
                }
            }
            _ => self.jump = Some((found, steady_ms)),
        }
    }
}

#[cfg(test)]
#[path = "anchored_clock_tests.rs"]
mod tests;
