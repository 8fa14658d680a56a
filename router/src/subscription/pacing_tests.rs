use super::{next_soft_timeout, CallOutcome, INITIAL_SOFT_TIMEOUT_MS, MAX_SOFT_TIMEOUT_MS};

#[test]
fn each_soft_timeout_doubles_the_next_one_up_to_the_maximum() {
    let mut current_ms = INITIAL_SOFT_TIMEOUT_MS;
    let mut sum_ms = 0;
    for _ in 0..4 {
        current_ms = next_soft_timeout(current_ms, CallOutcome::Slow);
        sum_ms += current_ms;
        assert!(current_ms <= MAX_SOFT_TIMEOUT_MS);
    }
    assert!(current_ms == MAX_SOFT_TIMEOUT_MS && sum_ms > 10_000, "long enough for a slow link");
    assert_eq!(next_soft_timeout(current_ms, CallOutcome::Responded), INITIAL_SOFT_TIMEOUT_MS);
}

#[test]
fn failed_dials_during_a_partition_do_not_lengthen_the_soft_timeout() {
    let mut current_ms = INITIAL_SOFT_TIMEOUT_MS;
    for _ in 0..20 {
        current_ms = next_soft_timeout(current_ms, CallOutcome::Unreachable);
    }
    assert_eq!(current_ms, INITIAL_SOFT_TIMEOUT_MS);
    assert_eq!(
        next_soft_timeout(MAX_SOFT_TIMEOUT_MS, CallOutcome::Unresponsive),
        INITIAL_SOFT_TIMEOUT_MS,
        "it had responded before"
    );
}
