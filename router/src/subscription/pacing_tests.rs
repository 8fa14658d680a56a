use super::{next_patience, Outcome, INITIAL_PATIENCE_MS, MAX_PATIENCE_MS};

#[test]
fn each_home_that_was_waited_for_in_vain_is_followed_by_more_patience() {
    let mut current_ms = INITIAL_PATIENCE_MS;
    let mut sum = 0;
    for _ in 0..4 {
        current_ms = next_patience(current_ms, Outcome::Slow);
        sum += current_ms;
        assert!(current_ms <= MAX_PATIENCE_MS);
    }
    assert!(current_ms == MAX_PATIENCE_MS && sum > 10_000, "a slow link gets its time");
    assert_eq!(next_patience(current_ms, Outcome::Responded), INITIAL_PATIENCE_MS);
}

#[test]
fn dials_that_fail_during_a_cut_leave_no_long_wait_at_a_frozen_home_after_it() {
    let mut current_ms = INITIAL_PATIENCE_MS;
    for _ in 0..20 {
        current_ms = next_patience(current_ms, Outcome::Unreachable);
    }
    assert_eq!(current_ms, INITIAL_PATIENCE_MS);
    assert_eq!(next_patience(MAX_PATIENCE_MS, Outcome::Unresponsive), INITIAL_PATIENCE_MS, "it had answered before");
}
