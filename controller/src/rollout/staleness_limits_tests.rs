//! Changes of a limit on top of each state, and requests that are rejected.
use protocol::config;
use protocol::message::StalenessLimit;
use serde_json::Value;

use super::{decide, parse_limit, parse_rollback, LimitTarget, StalenessLimitChange};
use crate::api::response::ApiError;

fn put(base: u64, latest: u64, lag: u64) -> StalenessLimitChange {
    StalenessLimitChange::Replace { base, latest, lag, routes: vec!["r".into()] }
}

fn made() -> StalenessLimit {
    let next = decide(None, &put(0, 10, 2)).expect("good").expect("new");
    StalenessLimit { service: "s".into(), model: "m".into(), ..next }
}

fn status<T>(result: Result<T, ApiError>) -> u16 {
    result.map_or_else(|error| error.status, |_| 200)
}

#[test]
fn a_limit_is_made_and_raised_and_a_repeated_request_changes_nothing() {
    let limit = made();
    assert_eq!((limit.version, limit.floor()), (1, 8));
    assert_eq!(decide(Some(&limit), &put(0, 10, 2)), Ok(None), "resent unchanged");
    let next = decide(Some(&limit), &StalenessLimitChange::Raise { latest: 11 }).expect("good").expect("new");
    assert_eq!((next.version, next.floor()), (2, 9));
    assert_eq!(decide(Some(&next), &StalenessLimitChange::Raise { latest: 11 }), Ok(None));
    assert_eq!(status(decide(Some(&next), &put(1, 12, 2))), 412, "another version is current");
    assert_eq!(decide(Some(&next), &put(2, 12, 2)).expect("good").expect("new").floor(), 10);
}

#[test]
fn a_version_goes_back_only_by_a_rollback_that_is_counted() {
    let limit = made();
    assert_eq!(status(decide(Some(&limit), &StalenessLimitChange::Raise { latest: 9 })), 400);
    assert_eq!(status(decide(Some(&limit), &put(1, 9, 2))), 400);
    let back = StalenessLimitChange::RollBack { latest: 7, reason: "bad loss".into() };
    let next = decide(Some(&limit), &back).expect("good").expect("new");
    assert_eq!((next.floor(), next.rollbacks, next.reason.as_str()), (5, 1, "bad loss"));
    assert_eq!(decide(Some(&next), &back), Ok(None), "resent unchanged");
    assert_eq!(status(decide(Some(&limit), &StalenessLimitChange::RollBack { latest: 11, reason: "x".into() })), 400);
}

#[test]
fn versions_go_on_after_a_removal() {
    let limit = made();
    assert_eq!(status(decide(Some(&limit), &StalenessLimitChange::Remove { base: 9 })), 412);
    let gone = decide(Some(&limit), &StalenessLimitChange::Remove { base: 1 }).expect("good").expect("new");
    assert!(gone.removed && gone.version == 2 && gone.floor() == 0);
    assert_eq!(decide(Some(&gone), &StalenessLimitChange::Remove { base: 1 }), Ok(None), "resent");
    assert_eq!(status(decide(Some(&gone), &StalenessLimitChange::Raise { latest: 12 })), 404);
    let anew = decide(Some(&gone), &put(0, 3, 0)).expect("good").expect("new");
    assert_eq!((anew.version, anew.floor(), anew.removed), (3, 3, false));
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
    let config = config::read(&text.to_string()).expect("good");
    let target = |(service, model): (&str, &str)| LimitTarget { service: service.into(), model: model.into() };
    let read = |body: Value, names| parse_limit(&body.to_string(), Some(0), &target(names), &config).map(|_| ());
    let good = serde_json::json!({"latest": 5, "lag": 1, "routes": ["r"]});
    assert_eq!(read(good.clone(), ("s", "m")), Ok(()));
    for (names, words) in [(("x", "m"), "service `x`"), (("s", "n"), "model `n`"), (("t", "m"), "model `m`")] {
        let ApiError { status, message } = read(good.clone(), names).expect_err("unknown");
        assert!(status == 404 && message.contains(words), "{message}");
    }
    for (name, value, words) in [
        ("routes", serde_json::json!(["none"]), "route `none`"),
        ("routes", serde_json::json!(["o"]), "route `o`"),
        ("routes", serde_json::json!("r"), "routes"),
        ("lag", serde_json::json!(-1), "lag"),
        ("latest", serde_json::json!("5"), "latest"),
    ] {
        let mut body = good.clone();
        body[name] = value;
        let ApiError { status, message } = read(body, ("s", "m")).expect_err("invalid");
        assert!(status == 400 && message.contains(words), "{message}");
    }
    assert_eq!(status(parse_limit(&good.to_string(), None, &target(("s", "m")), &config)), 400, "no If-Match");
    assert_eq!(status(parse_rollback("{\"latest\": 4}")), 400, "a rollback says why");
}
