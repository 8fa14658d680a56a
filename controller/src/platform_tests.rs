#[test]
fn only_a_step_that_took_longer_than_it_may_is_a_stall() {
    assert!(!super::stalled(1000, super::CALL_MS, 1000));
    assert!(!super::stalled(1000, super::CALL_MS, 1000 + super::CALL_MS + super::STALL_MS));
    assert!(super::stalled(1000, super::CALL_MS, 1001 + super::CALL_MS + super::STALL_MS));
    assert!(super::stalled(1000, 100, 21_000), "frozen for 20 s between two pages");
}
