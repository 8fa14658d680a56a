//! What counts as a fault of usage.

use super::UsageLog;
use crate::engine::EngineLog;

fn faults(calls: &[(&str, &str, &str)], begun: u64) -> Vec<String> {
    let (log, engines) = (UsageLog::default(), EngineLog::default());
    (0..begun).for_each(|_| engines.note_begun(21_000, "a"));
    calls.iter().for_each(|(holder, fence, body)| log.record(holder, fence, body.as_bytes()));
    log.faults(&engines)
}

const TOLD: &str = r#"{"window_id":7,"count_table":{"a":20}}"#;

#[test]
fn the_same_bytes_again_are_no_fault_also_from_another_holder() {
    assert!(faults(&[("x", "1", TOLD), ("x", "1", TOLD), ("y", "2", TOLD)], 20).is_empty());
}

#[test]
fn two_values_two_holders_a_lower_fence_and_turns_are_faults() {
    let other = r#"{"window_id":7,"count_table":{"a":21}}"#;
    assert!(faults(&[("x", "1", TOLD), ("x", "1", other)], 20)[0].contains("two values"));
    assert!(faults(&[("x", "1", TOLD), ("y", "1", TOLD)], 20)[0].contains("two holders"));
    assert!(faults(&[("x", "2", TOLD), ("x", "1", TOLD)], 20)[0].contains("fence 1 after 2"));
    assert!(faults(&[("x", "1", TOLD), ("y", "2", TOLD), ("x", "3", TOLD)], 20)[0].contains("within a lease"));
}

#[test]
fn counts_may_be_off_by_a_few_and_no_more() {
    assert!(faults(&[("x", "1", TOLD)], 23).is_empty());
    assert!(faults(&[("x", "1", TOLD)], 24)[0].contains("20 requests of a were told, 24 began"));
    assert!(faults(&[], 24).is_empty(), "not told yet");
}
