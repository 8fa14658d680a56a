//! When the packing gate is open.

use super::PackingGate;

#[test]
fn the_gate_opens_a_minute_after_the_start_or_the_last_older_replica() {
    let mut gate = PackingGate::new(1_000);
    assert!(!gate.is_open(1_000));
    assert!(!gate.is_open(60_999));
    assert!(gate.is_open(61_000));
    gate.observe(false, 70_000);
    assert!(gate.is_open(70_000));
    gate.observe(true, 70_000);
    assert!(!gate.is_open(70_000));
    assert!(!gate.is_open(129_999));
    assert!(gate.is_open(130_000));
}
