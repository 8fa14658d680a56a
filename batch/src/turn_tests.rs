use super::{next, Pace, Press, View};

#[test]
fn earliest_window_first_and_only_into_free_places() {
    let view = |id, left_ms, waiting: &[usize]| View { id, left_ms, window_ms: 1000, waiting: waiting.to_vec() };
    let sends = next(&[view("late", 900, &[0, 1]), view("soon", 200, &[4]), view("over", 0, &[1])], 2);
    let seen: Vec<_> = sends.iter().map(|send| (send.id.as_str(), send.job, send.press)).collect();
    assert_eq!(seen, [("soon", 4, Press::Near), ("late", 0, Press::Idle)]);
}

#[test]
fn a_refusal_makes_it_stand_back_at_once() {
    let mut pace = Pace::new(16);
    (0..100).for_each(|_| pace.good());
    let free = pace.free(0, 0);
    assert!(free > 8);
    pace.refused(Some(900), 100);
    assert_eq!(pace.free(0, 999), 0);
    assert_eq!(pace.free(0, 1000), free * 3 / 4);
}
