//! Operators' changes of the configuration: races, repeated requests, invalid ones.
use super::{ChangeDecision, ConfigChangeError, ParsedChange};
use crate::config::body::{BodyFormat, StoredConfig, MAX_REMEMBERED_CHANGES};
use protocol::operator_request::ConfigChange;

fn text(revision: u64) -> String {
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": [{"name": "r",
        "hostname": "h", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 5, "service": "s"}]})
    .to_string()
}

fn stored(revision: u64) -> StoredConfig {
    StoredConfig { revision, text: text(revision), legacy_changes: vec![77], ..StoredConfig::default() }
}

fn full_config(base: u64, text: String) -> ConfigChange {
    ConfigChange { base, text, partial: false }
}

fn next(change: &ConfigChange, stored: &StoredConfig) -> StoredConfig {
    let Ok(ChangeDecision::Commit(next)) = apply(change, stored) else { panic!("a change to be committed") };
    assert_eq!((next.stored.revision, next.stored.text.as_str()), (next.config.revision(), next.config.text()));
    next.stored
}

fn apply(change: &ConfigChange, stored: &StoredConfig) -> Result<ChangeDecision, ConfigChangeError> {
    ParsedChange::parse(change).decide(stored, None, BodyFormat::Digested)
}

fn refused(change: &ConfigChange, stored: &StoredConfig) -> ConfigChangeError {
    let Err(refusal) = apply(change, stored) else { panic!("refused") };
    refusal
}

#[test]
fn of_two_on_the_same_version_one_wins() {
    let first = next(&full_config(5, text(7)), &stored(5));
    assert_eq!(first.revision, 7);
    let refusal = refused(&full_config(5, text(8)), &first);
    assert_eq!(refusal, ConfigChangeError::Conflict { base: 5, current: 7 });
    assert_eq!(refusal.status(), 412);
    assert_eq!(refusal.to_string(), "If-Match: found 5, version 7 is current");
}

#[test]
fn of_two_under_the_same_number_one_wins() {
    let first = next(&full_config(5, text(7)), &stored(5));
    let other = text(7).replace("\"timeout_ms\":5", "\"timeout_ms\":6");
    assert_ne!(other, text(7));
    assert_eq!(refused(&full_config(5, other), &first), ConfigChangeError::Conflict { base: 5, current: 7 });
}

#[test]
fn a_committed_change_is_acknowledged_however_often_it_comes() {
    let change = full_config(5, text(7));
    let first = next(&change, &stored(5));
    assert!(matches!(apply(&change, &first), Ok(ChangeDecision::AlreadyCommitted)));
    let later = next(&full_config(7, text(9)), &first);
    assert!(matches!(apply(&change, &later), Ok(ChangeDecision::AlreadyCommitted)), "also behind a newer one");
}

#[test]
fn a_change_is_recognised_after_hundreds_of_others() {
    let change = full_config(5, text(6));
    let mut current = next(&change, &stored(5));
    for revision in 7..7 + MAX_REMEMBERED_CHANGES as u64 - 1 {
        current = next(&full_config(revision - 1, text(revision)), &current);
    }
    assert_eq!(current.changes.len() + current.legacy_changes.len(), MAX_REMEMBERED_CHANGES, "what is kept is bounded");
    assert!(matches!(apply(&change, &current), Ok(ChangeDecision::AlreadyCommitted)));
}

#[test]
fn invalid_ones_are_a_4xx_and_change_nothing() {
    for (body, partial) in
        [(text(5), false), (text(4), false), ("{".into(), false), ("{".into(), true), ("[]".into(), true)]
    {
        let refusal = refused(&ConfigChange { base: 5, text: body, partial }, &stored(5));
        assert_eq!(refusal.status(), 400);
        assert!(!refusal.to_string().is_empty());
    }
    let drop = serde_json::json!({"revision": 9, "withdraw": {"service_table": ["s"]}}).to_string();
    let refusal = refused(&ConfigChange { base: 5, text: drop, partial: true }, &stored(5));
    assert!(refusal.status() == 400 && refusal.to_string().contains("unknown service `s`"));
}
