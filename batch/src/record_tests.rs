//! Elapsed time and expiry of a batch, and its stored format.

use super::Batch;
use crate::{parse, RETENTION_MS};

fn batch() -> Batch {
    let text = serde_json::json!({"window_s": 60, "jobs": [
        {"name": "a", "hostname": "h", "path": "/x/1", "headers": {"model": "m"}, "body": "1"},
        {"name": "b", "hostname": "h", "path": "/x/2", "body": "2"}]});
    parse("key-1", &text.to_string(), &|host, _| (host == "h").then_some(true)).expect("the submission is valid")
}

#[test]
fn a_finished_batch_expires_after_its_retention_and_an_open_one_never_does() {
    let mut open = batch();
    open.add_elapsed(0, 60_000 + RETENTION_MS, false);
    assert!(!open.expired && open.remaining_ms() == 0 && open.jobs.len() == 2);
    let mut finished = batch();
    finished.add_elapsed(0, 59_000 + RETENTION_MS, true);
    assert!(!finished.expired, "the retention time has not passed");
    finished.add_elapsed(59_000 + RETENTION_MS, 1000, true);
    assert!(finished.expired && finished.jobs.is_empty() && !finished.idempotency_key.is_empty());
}

#[test]
fn elapsed_time_counts_once_if_a_change_with_unknown_outcome_is_repeated() {
    let mut batch = batch();
    assert!(batch.add_elapsed(0, 5000, false));
    assert!(!batch.add_elapsed(0, 5000, false), "the first change was applied, although its outcome was unknown");
    assert_eq!(batch.remaining_ms(), 55_000);
    assert!(batch.add_elapsed(5000, 1000, false));
    assert_eq!(batch.remaining_ms(), 54_000);
}

#[test]
fn a_batch_survives_serialization() {
    let batch = batch();
    assert_eq!(Batch::from_bytes(&batch.to_bytes()), Some(batch));
    assert_eq!(Batch::from_bytes(&[1, 2, 3]), None);
}
