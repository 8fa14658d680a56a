//! The order of jobs and the free slots.

use super::{next_dispatches, BatchView, Urgency};

#[test]
fn the_earliest_window_comes_first_and_only_free_slots_are_filled() {
    let view = |batch_id, remaining_ms, waiting: &[usize]| BatchView {
        batch_id,
        remaining_ms,
        window_ms: 1000,
        waiting: waiting.to_vec(),
    };
    let sends = next_dispatches(&[view("late", 900, &[0, 1]), view("soon", 200, &[4]), view("over", 0, &[1])], 2);
    let seen: Vec<_> = sends.iter().map(|send| (send.batch_id.as_str(), send.job, send.urgency)).collect();
    assert_eq!(seen, [("soon", 4, Urgency::DeadlineNear), ("late", 0, Urgency::Background)]);
}
