//! Times within a sliding window.

use std::collections::VecDeque;

/// Removes the times before the start of the window. Invariant: times are pushed in their order.
pub(crate) fn drop_before(times: &mut VecDeque<u64>, window_start: u64) {
    while times.front().is_some_and(|time| *time < window_start) {
        times.pop_front();
    }
}
