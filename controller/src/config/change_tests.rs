//! Decisions about operators' changes of the configuration: concurrent, retried and invalid ones.
use super::{ChangeDecision, ConfigChangeError, ParsedChange};
use crate::config::body::{BodyFormat, StoredConfig, MAX_REMEMBERED_CHANGES};
use protocol::operator_request::ConfigChange;

fn config_text(revision: u64) -> String {
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": [{"name": "r",
        "hostname": "h", "path_prefix": "/", "route_type": "idempotent", "timeout_ms": 5, "service": "s"}]})
    .to_string()
}

fn stored(revision: u64) -> StoredConfig {
    StoredConfig { revision, text: config_text(revision), legacy_changes: vec![77], ..StoredConfig::default() }
}

fn full_config(base: u64, text: String) -> ConfigChange {
    ConfigChange { base, text, partial: false }
}

fn next(change: &ConfigChange, stored: &StoredConfig) -> StoredConfig {
    let Ok(ChangeDecision::Commit(next)) = apply(change, stored) else { panic!("the change is not committed") };
    assert_eq!((next.stored.revision, next.stored.text.as_str()), (next.config.revision(), next.config.text()));
    next.stored
}

fn apply(change: &ConfigChange, stored: &StoredConfig) -> Result<ChangeDecision, ConfigChangeError> {
    ParsedChange::parse(change).decide(stored, None, BodyFormat::Digested)
}

fn rejected(change: &ConfigChange, stored: &StoredConfig) -> ConfigChangeError {
    let Err(rejection) = apply(change, stored) else { panic!("the change is not rejected") };
    rejection
}

#[test]
fn second_change_on_the_same_base_is_a_conflict() {
    let first = next(&full_config(5, config_text(7)), &stored(5));
    assert_eq!(first.revision, 7);
    let rejection = rejected(&full_config(5, config_text(8)), &first);
    assert_eq!(rejection, ConfigChangeError::Conflict { base: 5, current: 7 });
    assert_eq!(rejection.status(), 412);
    assert_eq!(rejection.to_string(), "If-Match: found 5, version 7 is current");
}

#[test]
fn second_change_with_the_same_revision_is_a_conflict() {
    let first = next(&full_config(5, config_text(7)), &stored(5));
    let other = config_text(7).replace("\"timeout_ms\":5", "\"timeout_ms\":6");
    assert_ne!(other, config_text(7));
    assert_eq!(rejected(&full_config(5, other), &first), ConfigChangeError::Conflict { base: 5, current: 7 });
}

#[test]
fn a_committed_change_is_acknowledged_on_every_retry() {
    let change = full_config(5, config_text(7));
    let first = next(&change, &stored(5));
    assert!(matches!(apply(&change, &first), Ok(ChangeDecision::AlreadyCommitted)));
    let later = next(&full_config(7, config_text(9)), &first);
    assert!(matches!(apply(&change, &later), Ok(ChangeDecision::AlreadyCommitted)), "also after a newer change");
}

#[test]
fn a_change_is_recognized_while_it_is_among_the_remembered_ones() {
    let change = full_config(5, config_text(6));
    let mut current = next(&change, &stored(5));
    for revision in 7..7 + MAX_REMEMBERED_CHANGES as u64 - 1 {
        current = next(&full_config(revision - 1, config_text(revision)), &current);
    }
    assert_eq!(
        current.changes.len() + current.legacy_changes.len(),
        MAX_REMEMBERED_CHANGES,
        "the record of changes is bounded"
    );
    assert!(matches!(apply(&change, &current), Ok(ChangeDecision::AlreadyCommitted)));
}

#[test]
fn invalid_changes_are_rejected_with_400_and_a_reason() {
    for (body, partial) in
        [(config_text(5), false), (config_text(4), false), ("{".into(), false), ("{".into(), true), ("[]".into(), true)]
    {
        let rejection = rejected(&ConfigChange { base: 5, text: body, partial }, &stored(5));
        assert_eq!(rejection.status(), 400);
        assert!(!rejection.to_string().is_empty());
    }
    let withdrawal = serde_json::json!({"revision": 9, "withdraw": {"service_table": ["s"]}}).to_string();
    let rejection = rejected(&ConfigChange { base: 5, text: withdrawal, partial: true }, &stored(5));
    assert!(rejection.status() == 400 && rejection.to_string().contains("unknown service `s`"));
}
