//! The concurrency limit after successes and rejections.

use super::ConcurrencyLimit;

#[test]
fn a_rejection_pauses_and_lowers_the_limit_by_a_quarter() {
    let mut limit = ConcurrencyLimit::new(16);
    (0..100).for_each(|_| limit.on_success());
    let free = limit.available(0, 0);
    assert!(free > 8);
    limit.on_rejection(Some(900), 100);
    assert_eq!(limit.available(0, 999), 0);
    assert_eq!(limit.available(0, 1000), free * 3 / 4);
}
