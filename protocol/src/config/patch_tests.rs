//! Changes of named items.

use serde_json::{json, Value};

use super::{ConfigDocument, ConfigError, ConfigErrorKind, ConfigPatch, Limits, MAX_TEXT_BYTES};
use crate::testing::samples::{valid, KEY};

fn base() -> ConfigDocument {
    ConfigDocument::parse(&valid().to_string()).expect("good")
}

fn result(change: &Value) -> Result<ConfigDocument, ConfigError> {
    let patched = ConfigPatch::parse(&change.to_string()).and_then(|patch| base().apply(&patch));
    if let Ok(patched) = &patched {
        let again = ConfigDocument::parse(patched.text()).expect("what is taken can be read");
        assert_eq!(&again, patched, "text and value agree");
    }
    patched
}

fn rejected(change: &Value) -> String {
    let error = result(change).expect_err("must be refused");
    assert!((400..500).contains(&error.status()) && !error.to_string().contains(KEY), "{error}");
    error.to_string()
}

fn accepted(change: &Value) -> ConfigDocument {
    result(change).unwrap_or_else(|error| panic!("{error}"))
}

fn names(checked: &ConfigDocument) -> Vec<(&str, u64)> {
    checked.config().route_table.iter().map(|route| (route.name.as_str(), route.timeout_ms)).collect()
}

fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "hostname": "c", "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
}

#[test]
fn a_change_replaces_adds_and_removes_by_name() {
    let mut two = valid()["route_table"][1].clone();
    two["timeout_ms"] = 9.into();
    let change = json!({"revision": 9, "upsert": {"route_table": [route("r-3", "/"), two]},
        "withdraw": {"route_table": ["r-1", "r-never"]}});
    let next = accepted(&change);
    assert_eq!(names(&next), [("r-2", 9), ("r-3", 5)]);
    assert_eq!(next.revision(), 9);
    assert!(rejected(&json!({"revision": 9, "upsert": {"route_table": 3}})).contains("upsert.route_table"));
    let value: Value = serde_json::from_str(next.text()).expect("JSON");
    assert_eq!(value["service_table"], valid()["service_table"], "also what this version does not know");
}

#[test]
fn what_is_not_named_stays_as_it_was_written() {
    let text = valid().to_string().replace("\"new\":1", "\"new\":{ \"exact\" : 12345678901234567890123.50 }");
    let base = ConfigDocument::parse(&text).expect("good");
    let patch = ConfigPatch::parse("{\"revision\":8,\"upsert\":{\"route_table\":[]}}").expect("read");
    let next = base.apply(&patch).expect("valid");
    assert!(next.text().contains("{ \"exact\" : 12345678901234567890123.50 }"));
    assert_eq!(next.config().route_table, base.config().route_table);
}

#[test]
fn the_result_is_what_must_be_valid() {
    let upsert = |table: &str, item: Value| json!({"revision": 9, "upsert": {table: [item]}});
    // Good items, invalid result.
    assert!(rejected(&upsert(
        "route_table",
        json!({"name": "r-3", "hostname": "A.example:80", "path_prefix": "/x/",
        "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
    ))
    .contains("route `r-3`: hostname and path_prefix are those of `r-1`"));
    assert!(rejected(&json!({"revision": 9, "withdraw": {"service_table": ["s"]}})).contains("unknown service `s`"));
    let shared = upsert("tenant_table", json!({"name": "t-3", "api_keys": [format!("{KEY}3")]}));
    assert!(rejected(&shared).contains("tenant `t-3`: a key is also a key of tenant `t-2`"));
    // Items that are good only together with what is held, or with each other.
    accepted(&json!({"revision": 9, "withdraw": {"tenant_table": ["t-2"]},
        "upsert": {"tenant_table": [{"name": "t-3", "api_keys": [format!("{KEY}3")]}]}}));
    let mut moved = route("r-9", "/");
    moved["service"] = "s-9".into();
    accepted(&json!({"revision": 9, "upsert": {"service_table": [{"name": "s-9"}], "route_table": [moved]}}));
    // Two routes change places at once.
    let swapped = |name: &str, from: usize| {
        let mut item = valid()["route_table"][from].clone();
        item["name"] = name.into();
        item
    };
    accepted(&json!({"revision": 9, "upsert": {"route_table": [swapped("r-1", 1), swapped("r-2", 0)]}}));
    let mut late = route("r-3", "/");
    late["timeout_ms"] = 0.into();
    assert!(rejected(&upsert("route_table", late)).contains("route `r-3`: timeout_ms is 0"));
}

#[test]
fn a_patch_is_parsed_as_strictly_as_a_configuration() {
    let change =
        json!({"revision": 9, "upsert": {"route_table": [route("r-3", "/")]}, "withdraw": {"route_table": ["r-1"]}});
    let text = change.to_string();
    let read = |text: &str| ConfigPatch::parse(text).expect_err("must be refused").to_string();
    for cut in 0..text.len() {
        read(&text[..cut]);
    }
    for bad in [format!("{text} x"), format!("\u{feff}{text}"), "[]".into(), "null".into(), format!("{text}{text}")] {
        read(&bad);
    }
    assert!(read(&text.replacen("\"timeout_ms\":5", "\"timeout_ms\":5,\"timeout_ms\":5", 1)).contains("is there twice"));
    assert!(read(&text.replacen("\"upsert\"", "\"upsert\":{},\"upsert\"", 1)).contains("is there twice"));
    for (bad, item) in [
        (json!({"upsert": 3}), "upsert"),
        (json!({"withdraw": ["r-1"]}), "withdraw"),
        (json!({"upsert": {"route_table": {"r-3": {}}}}), "upsert.route_table"),
        (json!({"upsert": {"tenant_table": "x"}}), "upsert.tenant_table"),
        (json!({"upsert": {"limits": []}}), "upsert.limits"),
        (json!({"upsert": {"limits": {"idle_timeout_ms": "x"}}}), "limits: idle_timeout_ms"),
        (json!({"upsert": {"revision": [1]}}), "upsert.revision"),
        (json!({"upsert": {"later": 3}}), "upsert.?"),
        (json!({"upsert": {"route_table": [3]}}), "route_table[0]"),
        (json!({"upsert": {"route_table": [{"hostname": "x"}]}}), "upsert.route_table[0]: name missing"),
        (json!({"upsert": {"later": [{"y": 1}]}}), "upsert.?[0]: name missing"),
        (
            json!({"upsert": {"route_table": [route("a", "/"), route("a", "/b/")]}}),
            "upsert.route_table[1]: name used twice",
        ),
        (json!({"upsert": {"route_table": [{"name": "a", "timeout_ms": "x"}]}}), "route `a`: timeout_ms"),
        (json!({"withdraw": {"route_table": "r-1"}}), "withdraw.route_table"),
        (json!({"withdraw": {"route_table": [{"name": "r-1"}]}}), "withdraw.route_table"),
        (json!({"withdraw": {"limits": ["idle_timeout_ms"]}}), "withdraw.limits"),
        (json!({"route_table": []}), "route_table"),
    ] {
        let mut bad = bad;
        bad["revision"] = 9.into();
        let error = read(&bad.to_string());
        assert!(error.starts_with(item), "{error} for {item}");
    }
    for bad in [json!({}), json!({"revision": 0}), json!({"revision": null}), json!({"revision": 9.0})] {
        assert!(rejected(&bad).starts_with("revision"));
    }
}

#[test]
fn a_part_that_is_null_is_not_there_and_the_withdrawn_go_first() {
    for nothing in
        [json!({"upsert": null}), json!({"withdraw": null}), json!({"upsert": {"route_table": null}}), json!({})]
    {
        let mut change = nothing;
        change["revision"] = 9.into();
        assert_eq!(names(&accepted(&change)), names(&base()));
    }
    let both = json!({"revision": 9, "upsert": {"route_table": [route("r-1", "/z/")]}, "withdraw": {"route_table": ["r-1", "r-1"]}});
    assert_eq!(names(&accepted(&both)), [("r-2", 8000), ("r-1", 5)]);
}

#[test]
fn limits_and_what_this_version_does_not_know_can_be_changed() {
    let limits =
        accepted(&json!({"revision": 9, "upsert": {"limits": {"max_body_bytes": 5, "idle_timeout_ms": null}}}));
    let patched = &limits.config().limits;
    assert_eq!((patched.max_body_bytes, patched.max_header_bytes), (5, 16384));
    assert_eq!(patched.idle_timeout_ms, Limits::default().idle_timeout_ms);
    let later = accepted(&json!({"revision": 9, "upsert": {"later": [{"name": "x", "y": 1}], "more": {"a": 1}},
        "withdraw": {"never": ["x"]}}));
    let value: Value = serde_json::from_str(later.text()).expect("JSON");
    assert_eq!((&value["later"], &value["more"]), (&json!([{"name": "x", "y": 1}]), &json!({"a": 1})));
    assert!(value.get("never").is_none());
    let patch = ConfigPatch::parse(&json!({"revision": 10, "upsert": {"later": {"a": 1}}}).to_string()).expect("read");
    assert!(later.apply(&patch).is_err(), "a list does not become an object");
}

#[test]
fn a_result_that_is_too_long_is_refused() {
    let mut item = route("r-3", "/");
    item["later"] = "x".repeat(MAX_TEXT_BYTES - 200).into();
    let error = result(&json!({"revision": 9, "upsert": {"route_table": [item]}})).expect_err("too long");
    assert!(matches!(error.kind, ConfigErrorKind::TooLong { .. }) && error.status() == 413);
}

/// Tables that an earlier version allowed to be missing are there afterwards.
#[test]
fn a_patch_of_what_an_earlier_version_accepted_makes_it_complete() {
    for old in ["{\"revision\":5} x", "{\"revision\":5,\"route_table\":null,\"service_table\":[]}"] {
        let base = ConfigDocument::parse_committed(old).expect("committed");
        let change =
            json!({"revision": 9, "upsert": {"service_table": [{"name": "s"}], "route_table": [route("a", "/")]}});
        let next = base.apply(&ConfigPatch::parse(&change.to_string()).expect("read")).expect("valid");
        assert_eq!(ConfigDocument::parse(next.text()), Ok(next));
    }
}

#[test]
fn keys_are_needed_as_long_as_there_is_a_table_of_tenants() {
    let names: Vec<String> = base().config().tenant_table.iter().map(|tenant| tenant.name.clone()).collect();
    assert!(!names.is_empty() && base().config().requires_keys);
    let emptied = accepted(&json!({"revision": 900_001, "withdraw": {"tenant_table": names}}));
    assert_eq!((emptied.config().tenant_table.len(), emptied.config().requires_keys), (0, true));
    let mut without_tenants = valid();
    without_tenants.as_object_mut().expect("an object").remove("tenant_table");
    assert!(!ConfigDocument::parse(&without_tenants.to_string()).expect("good").config().requires_keys);
}
