use super::{next_dispatches, BatchView, ConcurrencyLimit, Urgency};

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

#[test]
fn a_rejection_lowers_the_limit_immediately() {
    let mut limit = ConcurrencyLimit::new(16);
    (0..100).for_each(|_| limit.on_success());
    let free = limit.available(0, 0);
    assert!(free > 8);
    limit.on_rejection(Some(900), 100);
    assert_eq!(limit.available(0, 999), 0);
    assert_eq!(limit.available(0, 1000), free * 3 / 4);
}
