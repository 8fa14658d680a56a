//! Orders that were read around a pause of the process.

use super::PauseMonitor;

fn running_until(end: u64) -> PauseMonitor {
    let mut monitor = PauseMonitor::default();
    (0..=end).step_by(150).for_each(|now| monitor.record_tick(now));
    monitor
}

#[test]
fn a_process_that_runs_takes_orders() {
    let monitor = running_until(9000);
    assert!(!monitor.requests_may_be_stale(9100));
}

#[test]
fn an_order_read_before_the_first_beat_after_a_pause_is_stale() {
    let monitor = running_until(9000);
    assert!(monitor.requests_may_be_stale(29_000));
}

#[test]
fn orders_are_taken_again_a_while_after_a_pause() {
    let mut monitor = running_until(9000);
    monitor.record_tick(29_000);
    assert!(monitor.requests_may_be_stale(29_000));
    assert!(monitor.requests_may_be_stale(29_499));
    monitor.record_tick(29_150);
    monitor.record_tick(29_450);
    assert!(!monitor.requests_may_be_stale(29_500));
}
