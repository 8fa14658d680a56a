//! Requests on top of each state of a rollout.
use super::RolloutRequest;
use protocol::version_rollout::{RolloutState, VersionRollout};

fn request(target: &str) -> RolloutRequest {
    RolloutRequest { service: "s".into(), target: target.into(), duration_ms: 12_000 }
}

fn first() -> VersionRollout {
    request("v2").decide(None).expect("accepted").expect("new")
}

#[test]
fn a_rejected_request_names_the_field() {
    let read = |text: &str| RolloutRequest::parse(text, |name| name == "s").map_err(|error| error.to_string());
    let good = r#"{"service":"s","target_version":"v2","duration_s":12}"#;
    assert_eq!(read(good), Ok(request("v2")));
    for (text, status, word) in [
        (good.replace("\"s\"", "\"t\""), "404", "service `t`"),
        (good.replace("\"v2\"", "\"\""), "400", "target_version"),
        (good.replace("\"v2\"", "2"), "400", "target_version"),
        (good.replace("12", "0"), "400", "duration_s"),
        (good.replace("12", "-3"), "400", "duration_s"),
        (good.replace("12", "1e12"), "400", "duration_s"),
        (good[..20].to_string(), "400", "body"),
    ] {
        let error = read(&text).expect_err("rejected");
        assert!(error.starts_with(status) && error.contains(word), "{text}: {error}");
    }
}

#[test]
fn a_repeated_request_is_accepted_and_another_one_waits_for_the_end() {
    let stored = first();
    assert_eq!((stored.state, stored.share, stored.order), (RolloutState::Active, 0, 1));
    assert_eq!(request("v2").decide(Some(&stored)), Ok(None));
    assert_eq!(request("v3").decide(Some(&stored)).map_err(|error| error.status), Err(409));
    for state in [RolloutState::Complete, RolloutState::Reverted] {
        let ended = VersionRollout { state, ..first() };
        assert_eq!(request("v2").decide(Some(&ended)), Ok(None), "also after its end");
    }
}

#[test]
fn the_next_request_knows_what_is_in_place_and_what_was_reverted() {
    let complete = VersionRollout { state: RolloutState::Complete, number: 5, ..first() };
    let next = request("v3").decide(Some(&complete)).expect("accepted").expect("new");
    assert_eq!((next.number, next.order, next.stable.as_deref()), (6, 2, Some("v2")));
    let reverted = VersionRollout { state: RolloutState::Reverted, reverted: vec!["v2".into()], ..first() };
    let next = request("v3").decide(Some(&reverted)).expect("accepted").expect("new");
    assert_eq!((next.stable, next.reverted), (None, vec!["v2".to_string()]));
}
