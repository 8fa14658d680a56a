//! Parsing of valid submissions, and the errors for invalid ones.

use serde_json::Value;

use super::SpecificationError;
use crate::{Batch, MAX_BATCH_BYTES};

fn parse_changed(change: impl FnOnce(&mut Value)) -> Result<Batch, SpecificationError> {
    let mut value = serde_json::json!({"window_s": 60, "jobs": [
        {"name": "a", "hostname": "h", "path": "/x/1", "headers": {"model": "m"}, "body": "1"},
        {"name": "b", "hostname": "h", "path": "/x/2", "body": "2"}]});
    change(&mut value);
    super::parse("key-1", &value.to_string(), &|host, _| (host == "h").then_some(true))
}

#[test]
fn a_valid_submission_becomes_a_batch() {
    let batch = parse_changed(|_| ()).expect("the submission is valid");
    assert_eq!((batch.jobs.len(), batch.window_ms, batch.page_count()), (2, 60_000, 1));
}

#[test]
fn each_error_names_the_job() {
    assert!(parse_changed(|value| value["jobs"][1]["name"] = "a".into())
        .unwrap_err()
        .to_string()
        .contains("`a` (number 1): name used twice"));
    assert!(parse_changed(|value| value["jobs"][1]["hostname"] = "q".into())
        .unwrap_err()
        .to_string()
        .contains("`b` (number 1): no route"));
    assert!(parse_changed(|value| value["jobs"][0]["headers"]["Attempt-Id"] = "1".into())
        .unwrap_err()
        .to_string()
        .contains("`a`"));
    assert!(parse_changed(|value| value["window_s"] = 0.into()).unwrap_err().to_string().contains("window_s"));
    assert!(parse_changed(|value| value["window_s"] = (-5).into()).unwrap_err().to_string().contains("window_s"));
    assert!(parse_changed(|value| value["jobs"] = serde_json::json!([])).unwrap_err().to_string().contains("jobs"));
    let big = "x".repeat(MAX_BATCH_BYTES);
    assert!(parse_changed(|value| value["jobs"][1]["body"] = big.into()).unwrap_err().to_string().contains("`b`"));
}

/// Operators and their tools read these messages.
#[test]
fn error_messages_are_stable() {
    let route = |host: &str, _: &str| (host == "h").then_some(true);
    let error_text =
        |key: &str, text: &str| super::parse(key, text, &route).expect_err("the submission is invalid").to_string();
    let job = |fields: &str| format!(r#"{{"window_s":5,"jobs":[{{{fields}}}]}}"#);
    let cases = [
        ("5".to_string(), "batch: invalid type: integer `5`, expected struct Sent at line 1 column 1"),
        ("[]".into(), "batch: invalid length 0, expected struct Sent with 2 elements at line 1 column 2"),
        (r#"{"jobs":[5]}"#.into(), "batch: invalid type: integer `5`, expected struct SentJob at line 1 column 10"),
        ("{}".into(), "window_s: found 0, allowed: above 0, up to 604800"),
        (r#"{"window_s":1e9}"#.into(), "window_s: found 1000000000, allowed: above 0, up to 604800"),
        (r#"{"window_s":5}"#.into(), "jobs: found 0, allowed: 1 to 256"),
        (job(""), "job `` (number 0): name missing or over 64 bytes"),
        (job(r#""name":"a""#), "job `a` (number 0): path not from a slash on, or method not GET, POST or PUT"),
        (job(r#""name":"a","path":"/x","hostname":"q""#), "job `a` (number 0): no route for q/x"),
        (
            job(r#""name":"a","path":"/x","hostname":"h","headers":{"Host":"x"}"#),
            "job `a` (number 0): header `Host` is set by the system",
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(error_text("key-1", &text), expected);
    }
    assert_eq!(error_text("", "{}"), "Idempotency-Key: missing, over 128 bytes or not plain text");
    let large = job(&format!(r#""name":"a","path":"/x","hostname":"h","body":"{}""#, "x".repeat(MAX_BATCH_BYTES)));
    assert_eq!(error_text("key-1", &large), "job `a` (number 0): the batch is over 524288 bytes here");
}
