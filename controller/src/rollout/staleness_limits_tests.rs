use protocol::config;
use protocol::message::StalenessLimit;
use serde_json::Value;

use super::{read_latest, verdict, LimitChange};

fn put(base: u64, latest: u64, lag: u64) -> LimitChange {
    LimitChange::Put { base, latest, lag, routes: vec!["r".into()] }
}

fn made() -> StalenessLimit {
    let next = verdict(None, &put(0, 10, 2)).expect("good").expect("new");
    StalenessLimit { service: "s".into(), model: "m".into(), ..next }
}

fn status<T>(verdict: Result<T, (u16, String)>) -> u16 {
    verdict.map_or_else(|(status, _)| status, |_| 200)
}

#[test]
fn a_rule_is_made_raised_and_what_is_resent_holds_already() {
    let rule = made();
    assert_eq!((rule.version, rule.floor()), (1, 8));
    assert_eq!(verdict(Some(&rule), &put(0, 10, 2)), Ok(None), "resent unchanged");
    let next = verdict(Some(&rule), &LimitChange::Latest(11)).expect("good").expect("new");
    assert_eq!((next.version, next.floor()), (2, 9));
    assert_eq!(verdict(Some(&next), &LimitChange::Latest(11)), Ok(None));
    assert_eq!(status(verdict(Some(&next), &put(1, 12, 2))), 412, "another version is current");
    assert_eq!(verdict(Some(&next), &put(2, 12, 2)).expect("good").expect("new").floor(), 10);
}

#[test]
fn a_version_goes_back_only_by_a_rollback_that_is_counted() {
    let rule = made();
    assert_eq!(status(verdict(Some(&rule), &LimitChange::Latest(9))), 400);
    assert_eq!(status(verdict(Some(&rule), &put(1, 9, 2))), 400);
    let back = LimitChange::Rollback { latest: 7, reason: "bad loss".into() };
    let next = verdict(Some(&rule), &back).expect("good").expect("new");
    assert_eq!((next.floor(), next.rollbacks, next.reason.as_str()), (5, 1, "bad loss"));
    assert_eq!(verdict(Some(&next), &back), Ok(None), "resent unchanged");
    assert_eq!(status(verdict(Some(&rule), &LimitChange::Rollback { latest: 11, reason: "x".into() })), 400);
}

#[test]
fn stamps_go_on_behind_a_removal() {
    let rule = made();
    assert_eq!(status(verdict(Some(&rule), &LimitChange::Remove { base: 9 })), 412);
    let gone = verdict(Some(&rule), &LimitChange::Remove { base: 1 }).expect("good").expect("new");
    assert!(gone.removed && gone.version == 2 && gone.floor() == 0);
    assert_eq!(verdict(Some(&gone), &LimitChange::Remove { base: 1 }), Ok(None), "resent");
    assert_eq!(status(verdict(Some(&gone), &LimitChange::Latest(12))), 404);
    let anew = verdict(Some(&gone), &put(0, 3, 0)).expect("good").expect("new");
    assert_eq!((anew.version, anew.floor(), anew.removed), (3, 3, false));
    assert_eq!(status(verdict(None, &LimitChange::Remove { base: 0 })), 404);
}

#[test]
fn flaws_are_named_and_nothing_is_taken() {
    let text = serde_json::json!({"revision": 1,
        "service_table": [{"name": "s", "engine": {"slot_count": 1, "kv_capacity": 1, "kv_token_bytes": 1, "link_mbps": 1.0,
            "model_list": [{"name": "m"}]}}, {"name": "t"}],
        "route_table": [
            {"name": "r", "hostname": "h", "path_prefix": "/", "route_type": "streaming", "timeout_ms": 5, "service": "s"},
            {"name": "o", "hostname": "i", "path_prefix": "/", "route_type": "streaming", "timeout_ms": 5, "service": "t"}]});
    let config = config::read(&text.to_string()).expect("good");
    let read = |body: Value, names| super::read(&body.to_string(), Some(0), names, &config).map(|_| ());
    let good = serde_json::json!({"latest": 5, "lag": 1, "routes": ["r"]});
    assert_eq!(read(good.clone(), ("s", "m")), Ok(()));
    for (names, words) in [(("x", "m"), "service `x`"), (("s", "n"), "model `n`"), (("t", "m"), "model `m`")] {
        let (status, text) = read(good.clone(), names).expect_err("unknown");
        assert!(status == 404 && text.contains(words), "{text}");
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
        let (status, text) = read(body, ("s", "m")).expect_err("flawed");
        assert!(status == 400 && text.contains(words), "{text}");
    }
    assert_eq!(status(super::read(&good.to_string(), None, ("s", "m"), &config)), 400, "no If-Match");
    assert_eq!(status(read_latest("{\"latest\": 4}", true)), 400, "a rollback says why");
}
