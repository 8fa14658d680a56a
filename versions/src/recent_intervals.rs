//! The times between events of responses that one version gave lately.

use std::mem;

use hdrhistogram::Histogram;

/// Longest interval that is recorded, in microseconds; longer ones count as this.
const MAX_INTERVAL_US: u64 = 60_000_000;
/// Significant decimal digits of a recorded interval.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Intervals in microseconds, over the last one to two spans.
pub(crate) struct RecentIntervals {
    current: Histogram<u64>,
    previous: Histogram<u64>,
}

impl RecentIntervals {
    /// Returns an empty record.
    pub(crate) fn new() -> RecentIntervals {
        RecentIntervals { current: empty_histogram(), previous: empty_histogram() }
    }

    /// Adds `count` responses with an interval in microseconds.
    pub(crate) fn record(&mut self, interval_us: u64, count: u64) {
        let _ = self.current.record_n(interval_us.clamp(1, MAX_INTERVAL_US), count);
    }

    /// Starts a new span and drops the span before the last.
    pub(crate) fn rotate(&mut self) {
        self.previous = mem::replace(&mut self.current, empty_histogram());
    }

    /// Returns the number of responses recorded.
    pub(crate) fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    /// Returns the median interval in microseconds.
    pub(crate) fn median(&self) -> f64 {
        let mut all = self.previous.clone();
        let _ = all.add(&self.current);
        all.value_at_quantile(0.5) as f64
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_INTERVAL_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("constant bounds are valid"))
}
