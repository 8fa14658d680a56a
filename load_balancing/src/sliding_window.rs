//! Timestamps within a sliding window.

use std::collections::VecDeque;

/// Removes the timestamps before the start of the window. Invariant: timestamps are pushed in ascending order.
pub(crate) fn drop_before(times: &mut VecDeque<u64>, window_start: u64) {
    while times.front().is_some_and(|time| *time < window_start) {
        times.pop_front();
    }
}
