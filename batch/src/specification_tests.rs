use serde_json::Value;

use super::Batch;
use crate::{MAX_BATCH_BYTES, RETENTION_MS};

fn read(change: impl FnOnce(&mut Value)) -> Result<Batch, String> {
    let mut value = serde_json::json!({"window_s": 60, "jobs": [
        {"name": "a", "hostname": "h", "path": "/x/1", "headers": {"model": "m"}, "body": "1"},
        {"name": "b", "hostname": "h", "path": "/x/2", "body": "2"}]});
    change(&mut value);
    super::parse("key-1", &value.to_string(), &|host, _| (host == "h").then_some(true))
}

#[test]
fn a_good_one_is_taken_whole() {
    let batch = read(|_| ()).expect("good");
    assert_eq!((batch.jobs.len(), batch.window_ms, batch.page_count()), (2, 60_000, 1));
}

#[test]
fn a_finished_batch_expires_and_an_open_one_never_does() {
    let mut open = read(|_| ()).expect("good");
    open.add_elapsed(0, 60_000 + RETENTION_MS, false);
    assert!(!open.expired && open.remaining_ms() == 0 && open.jobs.len() == 2);
    let mut done = read(|_| ()).expect("good");
    done.add_elapsed(0, 59_000 + RETENTION_MS, true);
    assert!(!done.expired, "kept for its time");
    done.add_elapsed(59_000 + RETENTION_MS, 1000, true);
    assert!(done.expired && done.jobs.is_empty() && !done.idempotency_key.is_empty());
}

#[test]
fn each_flaw_names_the_job() {
    assert!(read(|value| value["jobs"][1]["name"] = "a".into())
        .unwrap_err()
        .contains("`a` (number 1): name used twice"));
    assert!(read(|value| value["jobs"][1]["hostname"] = "q".into()).unwrap_err().contains("`b` (number 1): no route"));
    assert!(read(|value| value["jobs"][0]["headers"]["Attempt-Id"] = "1".into()).unwrap_err().contains("`a`"));
    assert!(read(|value| value["window_s"] = 0.into()).unwrap_err().contains("window_s"));
    assert!(read(|value| value["window_s"] = (-5).into()).unwrap_err().contains("window_s"));
    assert!(read(|value| value["jobs"] = serde_json::json!([])).unwrap_err().contains("jobs"));
    let big = "x".repeat(MAX_BATCH_BYTES);
    assert!(read(|value| value["jobs"][1]["body"] = big.into()).unwrap_err().contains("`b`"));
}

#[test]
fn time_counts_once_though_a_change_without_clear_outcome_is_made_again() {
    let mut batch = read(|_| ()).expect("good");
    assert!(batch.add_elapsed(0, 5000, false));
    assert!(!batch.add_elapsed(0, 5000, false), "carried out before, though nobody heard of it");
    assert_eq!(batch.remaining_ms(), 55_000);
    assert!(batch.add_elapsed(5000, 1000, false));
    assert_eq!(batch.remaining_ms(), 54_000);
}
