//! Drift and steps of the wall clock.

use super::{AnchoredClock, MIN_STEP_DURATION_MS};

const START: u64 = 1_700_000_000_000;

#[test]
fn drift_is_applied_at_once() {
    let mut clock = AnchoredClock::default();
    assert_eq!(clock.read(START, 0), START);
    assert_eq!(clock.read(START + 1010, 1000), START + 1010);
    assert_eq!(clock.read(START + 1990, 2000), START + 1990);
}

#[test]
fn a_step_that_is_undone_is_ignored() {
    for step in [-30_000_i64, -2000, 2000, 600_000] {
        let mut clock = AnchoredClock::default();
        clock.read(START, 0);
        for second in 1..=20 {
            let monotonic = second * 1000;
            let stepped = (START + monotonic).saturating_add_signed(step);
            assert_eq!(clock.read(stepped, monotonic), START + monotonic, "{step}");
        }
        assert_eq!(clock.read(START + 21_000, 21_000), START + 21_000);
    }
}

#[test]
fn a_step_that_lasts_for_a_minute_is_applied() {
    let mut clock = AnchoredClock::default();
    clock.read(START + 5000, 0);
    clock.read(START + 1000, 1000);
    assert_eq!(clock.read(START + 1000 + MIN_STEP_DURATION_MS - 1, 1000 + MIN_STEP_DURATION_MS - 1), START + 65_999);
    let monotonic = 1000 + MIN_STEP_DURATION_MS;
    assert_eq!(clock.read(START + monotonic, monotonic), START + monotonic);
}

#[test]
fn another_step_restarts_the_waiting_time() {
    let mut clock = AnchoredClock::default();
    clock.read(START, 0);
    clock.read(START + 11_000, 1000);
    let monotonic = 1000 + MIN_STEP_DURATION_MS;
    assert_eq!(
        clock.read(START + monotonic + 90_000, monotonic),
        START + monotonic,
        "the step of a minute ago was replaced by another one"
    );
}
