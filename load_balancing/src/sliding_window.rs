//! Times within a sliding window.

use std::collections::VecDeque;

pub(crate) fn drop_before(list: &mut VecDeque<u64>, window_start: u64) {
    while list.front().is_some_and(|time| *time < window_start) {
        list.pop_front();
    }
}
