//! Steps of the time of day.

use super::{AnchoredClock, JUMP_ACCEPTED_MS};

const START: u64 = 1_700_000_000_000;

#[test]
fn small_drift_is_followed() {
    let mut clock = AnchoredClock::default();
    assert_eq!(clock.read(START, 0), START);
    assert_eq!(clock.read(START + 1010, 1000), START + 1010);
    assert_eq!(clock.read(START + 1990, 2000), START + 1990);
}

#[test]
fn a_step_and_a_step_back_change_nothing() {
    for step in [-30_000_i64, -2000, 2000, 600_000] {
        let mut clock = AnchoredClock::default();
        clock.read(START, 0);
        for second in 1..=20 {
            let steady = second * 1000;
            let stepped = (START + steady).saturating_add_signed(step);
            assert_eq!(clock.read(stepped, steady), START + steady, "{step}");
        }
        assert_eq!(clock.read(START + 21_000, 21_000), START + 21_000);
    }
}

#[test]
fn a_step_that_lasts_for_a_minute_is_followed() {
    let mut clock = AnchoredClock::default();
    clock.read(START + 5000, 0);
    clock.read(START + 1000, 1000);
    assert_eq!(clock.read(START + 1000 + JUMP_ACCEPTED_MS - 1, 1000 + JUMP_ACCEPTED_MS - 1), START + 65_999);
    let steady = 1000 + JUMP_ACCEPTED_MS;
    assert_eq!(clock.read(START + steady, steady), START + steady);
}

#[test]
fn another_jump_counts_anew() {
    let mut clock = AnchoredClock::default();
    clock.read(START, 0);
    clock.read(START + 11_000, 1000);
    let steady = 1000 + JUMP_ACCEPTED_MS;
    assert_eq!(clock.read(START + steady + 90_000, steady), START + steady, "not the jump that began a minute ago");
}
