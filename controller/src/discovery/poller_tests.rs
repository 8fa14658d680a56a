use super::{stalled, CALL_TIMEOUT_MS, STALL_TOLERANCE_MS};

#[test]
fn only_a_step_that_took_longer_than_it_may_is_a_stall() {
    assert!(!stalled(1000, CALL_TIMEOUT_MS, 1000));
    assert!(!stalled(1000, CALL_TIMEOUT_MS, 1000 + CALL_TIMEOUT_MS + STALL_TOLERANCE_MS));
    assert!(stalled(1000, CALL_TIMEOUT_MS, 1001 + CALL_TIMEOUT_MS + STALL_TOLERANCE_MS));
    assert!(stalled(1000, 100, 21_000), "frozen for 20 s between two pages");
}
