//! Which usage reports are violations.

use super::UsageLog;
use crate::engine::EngineLog;

fn violations(reports: &[(&str, &str, &str)], started: u64) -> Vec<String> {
    let (log, engines) = (UsageLog::default(), EngineLog::default());
    (0..started).for_each(|_| engines.record_run_start(21_000, "a"));
    reports.iter().for_each(|(holder, fence, body)| log.record(holder, fence, body.as_bytes()));
    log.violations(&engines)
}

/// The body of a report of 20 requests in window 7.
const BODY: &str = r#"{"window_id":7,"count_table":{"a":20}}"#;

#[test]
fn identical_repeat_of_a_report_is_no_violation_even_from_another_holder() {
    assert!(violations(&[("x", "1", BODY), ("x", "1", BODY), ("y", "2", BODY)], 20).is_empty());
}

#[test]
fn conflicting_values_shared_fence_decreasing_fence_and_return_within_a_lease_are_violations() {
    let other = r#"{"window_id":7,"count_table":{"a":21}}"#;
    assert!(violations(&[("x", "1", BODY), ("x", "1", other)], 20)[0].contains("two values"));
    assert!(violations(&[("x", "1", BODY), ("y", "1", BODY)], 20)[0].contains("two holders"));
    assert!(violations(&[("x", "2", BODY), ("x", "1", BODY)], 20)[0].contains("fence 1 after 2"));
    assert!(violations(&[("x", "1", BODY), ("y", "2", BODY), ("x", "3", BODY)], 20)[0].contains("within a lease"));
}

#[test]
fn count_outside_the_tolerance_is_a_violation() {
    assert!(violations(&[("x", "1", BODY)], 23).is_empty());
    assert!(violations(&[("x", "1", BODY)], 24)[0].contains("20 requests of a were reported, 24 started"));
    assert!(violations(&[], 24).is_empty(), "the window is not reported yet");
}
