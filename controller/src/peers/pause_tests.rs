//! Requests that are read around a pause of the process.

use super::PauseMonitor;

fn monitor_after_ticks_until(end: u64) -> PauseMonitor {
    let mut monitor = PauseMonitor::default();
    (0..=end).step_by(150).for_each(|now| monitor.record_tick(now));
    monitor
}

#[test]
fn requests_are_fresh_while_the_process_runs() {
    let monitor = monitor_after_ticks_until(9000);
    assert!(!monitor.requests_may_be_stale(9100));
}

#[test]
fn requests_are_stale_before_the_first_tick_after_a_pause() {
    let monitor = monitor_after_ticks_until(9000);
    assert!(monitor.requests_may_be_stale(29_000));
}

#[test]
fn requests_are_fresh_again_some_time_after_a_pause() {
    let mut monitor = monitor_after_ticks_until(9000);
    monitor.record_tick(29_000);
    assert!(monitor.requests_may_be_stale(29_000));
    assert!(monitor.requests_may_be_stale(29_499));
    monitor.record_tick(29_150);
    monitor.record_tick(29_450);
    assert!(!monitor.requests_may_be_stale(29_500));
}
