use super::{stalled, CALL_TIMEOUT_MS, STALL_TOLERANCE_MS};

#[test]
fn a_step_is_stalled_only_beyond_its_limit_and_the_tolerance() {
    assert!(!stalled(1000, CALL_TIMEOUT_MS, 1000));
    assert!(!stalled(1000, CALL_TIMEOUT_MS, 1000 + CALL_TIMEOUT_MS + STALL_TOLERANCE_MS));
    assert!(stalled(1000, CALL_TIMEOUT_MS, 1001 + CALL_TIMEOUT_MS + STALL_TOLERANCE_MS));
    assert!(stalled(1000, 100, 21_000), "the process was suspended for 20 s between two pages");
}
