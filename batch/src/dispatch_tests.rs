//! The order in which jobs are dispatched, and the limit on free slots.

use super::{next_dispatches, BatchView, Urgency};

#[test]
fn jobs_are_dispatched_by_the_end_of_their_window_up_to_the_free_slots() {
    let view = |batch_id, remaining_ms, waiting: &[usize]| BatchView {
        batch_id,
        remaining_ms,
        window_ms: 1000,
        waiting: waiting.to_vec(),
    };
    let dispatches = next_dispatches(&[view("late", 900, &[0, 1]), view("soon", 200, &[4]), view("over", 0, &[1])], 2);
    let dispatched: Vec<_> =
        dispatches.iter().map(|dispatch| (dispatch.batch_id.as_str(), dispatch.job, dispatch.urgency)).collect();
    assert_eq!(dispatched, [("soon", 4, Urgency::DeadlineNear), ("late", 0, Urgency::Background)]);
}
