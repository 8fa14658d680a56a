//! Orders on top of each state.
use super::RolloutRequest;
use protocol::version_rollout::{RolloutState, VersionRollout};

fn order(target: &str) -> RolloutRequest {
    RolloutRequest { service: "s".into(), target: target.into(), duration_ms: 12_000 }
}

fn first() -> VersionRollout {
    order("v2").on(None).expect("taken").expect("new")
}

#[test]
fn flaws_are_named() {
    let read = |text: &str| {
        RolloutRequest::read(text, |name| name == "s").map_err(|(status, words)| format!("{status} {words}"))
    };
    let good = r#"{"service":"s","target_version":"v2","duration_s":12}"#;
    assert_eq!(read(good), Ok(order("v2")));
    for (text, status, word) in [
        (good.replace("\"s\"", "\"t\""), "404", "service `t`"),
        (good.replace("\"v2\"", "\"\""), "400", "target_version"),
        (good.replace("\"v2\"", "2"), "400", "target_version"),
        (good.replace("12", "0"), "400", "duration_s"),
        (good.replace("12", "-3"), "400", "duration_s"),
        (good.replace("12", "1e12"), "400", "duration_s"),
        (good[..20].to_string(), "400", "body"),
    ] {
        let refusal = read(&text).expect_err("refused");
        assert!(refusal.starts_with(status) && refusal.contains(word), "{text}: {refusal}");
    }
}

#[test]
fn an_order_sent_again_is_taken_and_another_one_waits_for_the_end() {
    let held = first();
    assert_eq!((held.state, held.share, held.order), (RolloutState::Active, 0, 1));
    assert_eq!(order("v2").on(Some(&held)), Ok(None));
    assert_eq!(order("v3").on(Some(&held)).map_err(|refusal| refusal.0), Err(409));
    for state in [RolloutState::Complete, RolloutState::Reverted] {
        let ended = VersionRollout { state, ..first() };
        assert_eq!(order("v2").on(Some(&ended)), Ok(None), "also after its end");
    }
}

#[test]
fn the_next_order_knows_what_is_in_place_and_what_was_reverted() {
    let complete = VersionRollout { state: RolloutState::Complete, number: 5, ..first() };
    let next = order("v3").on(Some(&complete)).expect("taken").expect("new");
    assert_eq!((next.number, next.order, next.stable.as_deref()), (6, 2, Some("v2")));
    let reverted = VersionRollout { state: RolloutState::Reverted, reverted: vec!["v2".into()], ..first() };
    let next = order("v3").on(Some(&reverted)).expect("taken").expect("new");
    assert_eq!((next.stable, next.reverted), (None, vec!["v2".to_string()]));
}
