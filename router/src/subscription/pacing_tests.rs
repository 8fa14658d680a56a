use super::{patience, Outcome, PATIENCE_MOST_MS, PATIENCE_MS};

#[test]
fn each_home_that_was_waited_for_in_vain_is_followed_by_more_patience() {
    let mut held = PATIENCE_MS;
    let mut sum = 0;
    for _ in 0..4 {
        held = patience(held, Outcome::Slow);
        sum += held;
        assert!(held <= PATIENCE_MOST_MS);
    }
    assert!(held == PATIENCE_MOST_MS && sum > 10_000, "a slow link gets its time");
    assert_eq!(patience(held, Outcome::Answered), PATIENCE_MS);
}

#[test]
fn dials_that_fail_during_a_cut_leave_no_long_wait_at_a_frozen_home_after_it() {
    let mut held = PATIENCE_MS;
    for _ in 0..20 {
        held = patience(held, Outcome::Unreached);
    }
    assert_eq!(held, PATIENCE_MS);
    assert_eq!(patience(PATIENCE_MOST_MS, Outcome::Silent), PATIENCE_MS, "it had answered before");
}
