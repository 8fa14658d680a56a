//! Changes applied to each state of a limit, and rejected requests.
use protocol::config;
use protocol::message::StalenessLimit;
use serde_json::Value;

use super::{decide, parse_limit, parse_rollback, LimitTarget, StalenessLimitChange};
use crate::api::response::ApiError;

fn replace(base: u64, latest: u64, lag: u64) -> StalenessLimitChange {
    StalenessLimitChange::Replace { base, latest, lag, routes: vec!["r".into()] }
}

fn new_limit() -> StalenessLimit {
    let next = decide(None, &replace(0, 10, 2)).expect("valid change").expect("new state");
    StalenessLimit { service: "s".into(), model: "m".into(), ..next }
}

fn status<T>(result: Result<T, ApiError>) -> u16 {
    result.map_or_else(|error| error.status, |_| 200)
}

#[test]
fn a_limit_is_created_and_raised_and_a_repeated_request_changes_nothing() {
    let limit = new_limit();
    assert_eq!((limit.version, limit.floor()), (1, 8));
    assert_eq!(decide(Some(&limit), &replace(0, 10, 2)), Ok(None), "resent unchanged");
    let next =
        decide(Some(&limit), &StalenessLimitChange::Raise { latest: 11 }).expect("valid change").expect("new state");
    assert_eq!((next.version, next.floor()), (2, 9));
    assert_eq!(decide(Some(&next), &StalenessLimitChange::Raise { latest: 11 }), Ok(None));
    assert_eq!(status(decide(Some(&next), &replace(1, 12, 2))), 412, "another version is current");
    assert_eq!(decide(Some(&next), &replace(2, 12, 2)).expect("valid change").expect("new state").floor(), 10);
}

#[test]
fn the_latest_version_decreases_only_by_a_counted_rollback() {
    let limit = new_limit();
    assert_eq!(status(decide(Some(&limit), &StalenessLimitChange::Raise { latest: 9 })), 400);
    assert_eq!(status(decide(Some(&limit), &replace(1, 9, 2))), 400);
    let rollback = StalenessLimitChange::RollBack { latest: 7, reason: "bad loss".into() };
    let next = decide(Some(&limit), &rollback).expect("valid change").expect("new state");
    assert_eq!((next.floor(), next.rollbacks, next.reason.as_str()), (5, 1, "bad loss"));
    assert_eq!(decide(Some(&next), &rollback), Ok(None), "resent unchanged");
    assert_eq!(status(decide(Some(&limit), &StalenessLimitChange::RollBack { latest: 11, reason: "x".into() })), 400);
}

#[test]
fn limit_versions_continue_after_a_removal() {
    let limit = new_limit();
    assert_eq!(status(decide(Some(&limit), &StalenessLimitChange::Remove { base: 9 })), 412);
    let removed =
        decide(Some(&limit), &StalenessLimitChange::Remove { base: 1 }).expect("valid change").expect("new state");
    assert!(removed.removed && removed.version == 2 && removed.floor() == 0);
    assert_eq!(decide(Some(&removed), &StalenessLimitChange::Remove { base: 1 }), Ok(None), "resent");
    assert_eq!(status(decide(Some(&removed), &StalenessLimitChange::Raise { latest: 12 })), 404);
    let recreated = decide(Some(&removed), &replace(0, 3, 0)).expect("valid change").expect("new state");
    assert_eq!((recreated.version, recreated.floor(), recreated.removed), (3, 3, false));
    assert_eq!(status(decide(None, &StalenessLimitChange::Remove { base: 0 })), 404);
}

#[test]
fn a_rejected_request_names_the_field() {
    let text = serde_json::json!({"revision": 1,
        "service_table": [{"name": "s", "engine": {"slot_count": 1, "kv_capacity": 1, "kv_token_bytes": 1, "link_mbps": 1.0,
            "model_list": [{"name": "m"}]}}, {"name": "t"}],
        "route_table": [
            {"name": "r", "hostname": "h", "path_prefix": "/", "route_type": "streaming", "timeout_ms": 5, "service": "s"},
            {"name": "o", "hostname": "i", "path_prefix": "/", "route_type": "streaming", "timeout_ms": 5, "service": "t"}]});
    let config = config::read(&text.to_string()).expect("valid configuration");
    let target = |(service, model): (&str, &str)| LimitTarget { service: service.into(), model: model.into() };
    let parse =
        |body: Value, target_names| parse_limit(&body.to_string(), Some(0), &target(target_names), &config).map(|_| ());
    let good = serde_json::json!({"latest": 5, "lag": 1, "routes": ["r"]});
    assert_eq!(parse(good.clone(), ("s", "m")), Ok(()));
    for (target_names, expected_text) in
        [(("x", "m"), "service `x`"), (("s", "n"), "model `n`"), (("t", "m"), "model `m`")]
    {
        let ApiError { status, message } = parse(good.clone(), target_names).expect_err("unknown");
        assert!(status == 404 && message.contains(expected_text), "{message}");
    }
    for (name, value, expected_text) in [
        ("routes", serde_json::json!(["none"]), "route `none`"),
        ("routes", serde_json::json!(["o"]), "route `o`"),
        ("routes", serde_json::json!("r"), "routes"),
        ("lag", serde_json::json!(-1), "lag"),
        ("latest", serde_json::json!("5"), "latest"),
    ] {
        let mut body = good.clone();
        body[name] = value;
        let ApiError { status, message } = parse(body, ("s", "m")).expect_err("invalid");
        assert!(status == 400 && message.contains(expected_text), "{message}");
    }
    assert_eq!(status(parse_limit(&good.to_string(), None, &target(("s", "m")), &config)), 400, "missing If-Match");
    assert_eq!(status(parse_rollback("{\"latest\": 4}")), 400, "a rollback without a reason");
}
