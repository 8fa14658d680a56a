//! Requests for a rollout on top of each state of the previous one.
use super::RolloutRequest;
use protocol::version_rollout::{RolloutState, VersionRollout};

fn request(target: &str) -> RolloutRequest {
    RolloutRequest { service: "s".into(), target: target.into(), duration_ms: 12_000 }
}

fn first() -> VersionRollout {
    request("v2").decide(None, None).expect("the request is accepted").expect("a rollout starts")
}

#[test]
fn parse_names_the_invalid_field() {
    let parse = |text: &str| RolloutRequest::parse(text, |name| name == "s").map_err(|error| error.to_string());
    let valid = r#"{"service":"s","target_version":"v2","duration_s":12}"#;
    assert_eq!(parse(valid), Ok(request("v2")));
    for (text, status, expected) in [
        (valid.replace("\"s\"", "\"t\""), "404", "service `t`"),
        (valid.replace("\"v2\"", "\"\""), "400", "target_version"),
        (valid.replace("\"v2\"", "2"), "400", "target_version"),
        (valid.replace("12", "0"), "400", "duration_s"),
        (valid.replace("12", "-3"), "400", "duration_s"),
        (valid.replace("12", "1e12"), "400", "duration_s"),
        (valid[..20].to_string(), "400", "body"),
    ] {
        let error = parse(&text).expect_err("the request must be rejected");
        assert!(error.starts_with(status) && error.contains(expected), "{text}: {error}");
    }
}

#[test]
fn decide_accepts_a_repeated_request_and_rejects_another_one_while_active() {
    let stored = first();
    assert_eq!((stored.state, stored.share, stored.order), (RolloutState::Active, 0, 1));
    assert_eq!(request("v2").decide(Some(&stored), None), Ok(None));
    assert_eq!(request("v3").decide(Some(&stored), None).map_err(|error| error.status), Err(409));
    for state in [RolloutState::Complete, RolloutState::Reverted] {
        let ended = VersionRollout { state, ..first() };
        assert_eq!(request("v2").decide(Some(&ended), None), Ok(None), "also after the rollout has ended");
    }
}

#[test]
fn the_next_rollout_keeps_the_stable_and_the_reverted_versions() {
    let complete = VersionRollout { state: RolloutState::Complete, number: 5, ..first() };
    let next = request("v3").decide(Some(&complete), None).expect("the request is accepted").expect("a rollout starts");
    assert_eq!((next.number, next.order, next.stable.as_deref()), (6, 2, Some("v2")));
    let reverted = VersionRollout { state: RolloutState::Reverted, reverted: vec!["v2".into()], ..first() };
    let next = request("v3").decide(Some(&reverted), None).expect("the request is accepted").expect("a rollout starts");
    assert_eq!((next.stable, next.reverted), (None, vec!["v2".to_string()]));
}

#[test]
fn a_rollout_records_the_version_in_force() {
    let first = request("v2").decide(None, Some("v1")).expect("the request is accepted").expect("a rollout starts");
    assert_eq!((first.state, first.stable.as_deref()), (RolloutState::Active, Some("v1")));
    let reverted = VersionRollout { state: RolloutState::Reverted, reverted: vec!["v2".into()], ..first };
    let next = request("v4").decide(Some(&reverted), Some("v3"));
    let next = next.expect("the request is accepted").expect("a rollout starts");
    assert_eq!(next.stable.as_deref(), Some("v3"), "it replaced v1 without a rollout");
}

#[test]
fn a_rollout_of_the_version_that_is_already_in_force_is_complete_at_once() {
    let ordered_late = request("v2").decide(None, Some("v2")).expect("the request is accepted");
    assert_eq!(ordered_late.map(|rollout| rollout.state), Some(RolloutState::Complete));
}
