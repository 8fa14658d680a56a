//! Tests of patches.

use serde_json::{json, Value};

use super::{ConfigDocument, ConfigError, ConfigErrorKind, ConfigPatch, Limits, MAX_TEXT_BYTES};
use crate::testing::samples::{valid, KEY};

fn base() -> ConfigDocument {
    ConfigDocument::parse(&valid().to_string()).expect("a valid configuration")
}

fn apply_patch(change: &Value) -> Result<ConfigDocument, ConfigError> {
    let patched = ConfigPatch::parse(&change.to_string()).and_then(|patch| base().apply(&patch));
    if let Ok(patched) = &patched {
        let reparsed = ConfigDocument::parse(patched.text()).expect("an accepted result is valid");
        assert_eq!(&reparsed, patched, "text and value agree");
    }
    patched
}

fn rejected(change: &Value) -> String {
    let error = apply_patch(change).expect_err("must be rejected");
    assert!((400..500).contains(&error.status()) && !error.to_string().contains(KEY), "{error}");
    error.to_string()
}

fn accepted(change: &Value) -> ConfigDocument {
    apply_patch(change).unwrap_or_else(|error| panic!("{error}"))
}

fn names_and_timeouts(document: &ConfigDocument) -> Vec<(&str, u64)> {
    document.config().route_table.iter().map(|route| (route.name.as_str(), route.timeout_ms)).collect()
}

fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "hostname": "c", "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
}

#[test]
fn a_patch_replaces_adds_and_removes_items_by_name() {
    let mut changed = valid()["route_table"][1].clone();
    changed["timeout_ms"] = 9.into();
    let change = json!({"revision": 9, "upsert": {"route_table": [route("r-3", "/"), changed]},
        "withdraw": {"route_table": ["r-1", "r-never"]}});
    let next = accepted(&change);
    assert_eq!(names_and_timeouts(&next), [("r-2", 9), ("r-3", 5)]);
    assert_eq!(next.revision(), 9);
    assert!(rejected(&json!({"revision": 9, "upsert": {"route_table": 3}})).contains("upsert.route_table"));
    let value: Value = serde_json::from_str(next.text()).expect("JSON");
    assert_eq!(value["service_table"], valid()["service_table"], "including fields unknown to this version");
}

#[test]
fn an_item_that_a_patch_does_not_name_keeps_its_text() {
    let text = valid().to_string().replace("\"new\":1", "\"new\":{ \"exact\" : 12345678901234567890123.50 }");
    let base = ConfigDocument::parse(&text).expect("a valid configuration");
    let patch = ConfigPatch::parse("{\"revision\":8,\"upsert\":{\"route_table\":[]}}").expect("a valid patch");
    let next = base.apply(&patch).expect("valid");
    assert!(next.text().contains("{ \"exact\" : 12345678901234567890123.50 }"));
    assert_eq!(next.config().route_table, base.config().route_table);
}

#[test]
fn a_patch_is_accepted_only_if_its_result_is_valid() {
    let upsert = |table: &str, item: Value| json!({"revision": 9, "upsert": {table: [item]}});
    // Valid items, invalid result.
    assert!(rejected(&upsert(
        "route_table",
        json!({"name": "r-3", "hostname": "A.example:80", "path_prefix": "/x/",
        "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
    ))
    .contains("route `r-3`: same hostname and path_prefix as route `r-1`"));
    assert!(rejected(&json!({"revision": 9, "withdraw": {"service_table": ["s"]}}))
        .contains("unknown service `s`, it must be in service_table"));
    let shared = upsert("tenant_table", json!({"name": "t-3", "api_keys": [format!("{KEY}3")]}));
    assert!(rejected(&shared).contains("tenant `t-3`: api_keys contains a key that also belongs to tenant `t-2`"));
    // Items that are valid only together with the current configuration or with each other.
    accepted(&json!({"revision": 9, "withdraw": {"tenant_table": ["t-2"]},
        "upsert": {"tenant_table": [{"name": "t-3", "api_keys": [format!("{KEY}3")]}]}}));
    let mut dependent = route("r-9", "/");
    dependent["service"] = "s-9".into();
    accepted(&json!({"revision": 9, "upsert": {"service_table": [{"name": "s-9"}], "route_table": [dependent]}}));
    // Two routes swap names in one patch.
    let swapped = |name: &str, from: usize| {
        let mut item = valid()["route_table"][from].clone();
        item["name"] = name.into();
        item
    };
    accepted(&json!({"revision": 9, "upsert": {"route_table": [swapped("r-1", 1), swapped("r-2", 0)]}}));
    let mut no_timeout = route("r-3", "/");
    no_timeout["timeout_ms"] = 0.into();
    assert!(
        rejected(&upsert("route_table", no_timeout)).contains("route `r-3`: timeout_ms is 0, it must be at least 1")
    );
}

#[test]
fn a_malformed_patch_is_rejected_with_the_item_named() {
    let change =
        json!({"revision": 9, "upsert": {"route_table": [route("r-3", "/")]}, "withdraw": {"route_table": ["r-1"]}});
    let text = change.to_string();
    let rejection = |text: &str| ConfigPatch::parse(text).expect_err("must be rejected").to_string();
    for cut in 0..text.len() {
        rejection(&text[..cut]);
    }
    for bad in [format!("{text} x"), format!("\u{feff}{text}"), "[]".into(), "null".into(), format!("{text}{text}")] {
        rejection(&bad);
    }
    assert!(rejection(&text.replacen("\"timeout_ms\":5", "\"timeout_ms\":5,\"timeout_ms\":5", 1))
        .contains("duplicate field"));
    assert!(rejection(&text.replacen("\"upsert\"", "\"upsert\":{},\"upsert\"", 1)).contains("duplicate field"));
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
        (json!({"upsert": {"route_table": [{"hostname": "x"}]}}), "upsert.route_table[0]: name is missing"),
        (json!({"upsert": {"later": [{"y": 1}]}}), "upsert.?[0]: name is missing"),
        (
            json!({"upsert": {"route_table": [route("a", "/"), route("a", "/b/")]}}),
            "upsert.route_table[1]: duplicate name, names must be unique within a table",
        ),
        (json!({"upsert": {"route_table": [{"name": "a", "timeout_ms": "x"}]}}), "route `a`: timeout_ms"),
        (json!({"withdraw": {"route_table": "r-1"}}), "withdraw.route_table"),
        (json!({"withdraw": {"route_table": [{"name": "r-1"}]}}), "withdraw.route_table"),
        (json!({"withdraw": {"limits": ["idle_timeout_ms"]}}), "withdraw.limits"),
        (json!({"route_table": []}), "route_table"),
    ] {
        let mut bad = bad;
        bad["revision"] = 9.into();
        let error = rejection(&bad.to_string());
        assert!(error.starts_with(item), "{error} for {item}");
    }
    for bad in [json!({}), json!({"revision": 0}), json!({"revision": null}), json!({"revision": 9.0})] {
        assert!(rejected(&bad).starts_with("revision"));
    }
}

#[test]
fn a_null_part_counts_as_missing_and_withdrawals_precede_upserts() {
    for empty in
        [json!({"upsert": null}), json!({"withdraw": null}), json!({"upsert": {"route_table": null}}), json!({})]
    {
        let mut change = empty;
        change["revision"] = 9.into();
        assert_eq!(names_and_timeouts(&accepted(&change)), names_and_timeouts(&base()));
    }
    let both = json!({"revision": 9, "upsert": {"route_table": [route("r-1", "/z/")]}, "withdraw": {"route_table": ["r-1", "r-1"]}});
    assert_eq!(names_and_timeouts(&accepted(&both)), [("r-2", 8000), ("r-1", 5)]);
}

#[test]
fn a_patch_changes_limits_and_fields_unknown_to_this_version() {
    let patched =
        accepted(&json!({"revision": 9, "upsert": {"limits": {"max_body_bytes": 5, "idle_timeout_ms": null}}}));
    let limits = &patched.config().limits;
    assert_eq!((limits.max_body_bytes, limits.max_header_bytes), (5, 16384));
    assert_eq!(limits.idle_timeout_ms, Limits::default().idle_timeout_ms);
    let later = accepted(&json!({"revision": 9, "upsert": {"later": [{"name": "x", "y": 1}], "more": {"a": 1}},
        "withdraw": {"never": ["x"]}}));
    let value: Value = serde_json::from_str(later.text()).expect("JSON");
    assert_eq!((&value["later"], &value["more"]), (&json!([{"name": "x", "y": 1}]), &json!({"a": 1})));
    assert!(value.get("never").is_none());
    let patch =
        ConfigPatch::parse(&json!({"revision": 10, "upsert": {"later": {"a": 1}}}).to_string()).expect("a valid patch");
    assert!(later.apply(&patch).is_err(), "a list does not become an object");
}

#[test]
fn a_patch_with_a_result_that_is_too_long_is_rejected() {
    let mut item = route("r-3", "/");
    item["later"] = "x".repeat(MAX_TEXT_BYTES - 200).into();
    let error = apply_patch(&json!({"revision": 9, "upsert": {"route_table": [item]}})).expect_err("too long");
    assert!(matches!(error.kind, ConfigErrorKind::TooLong { .. }) && error.status() == 413);
}

/// An earlier version accepted configurations with missing tables; a patch adds them.
#[test]
fn a_patch_adds_tables_missing_from_a_committed_configuration() {
    for old in ["{\"revision\":5} x", "{\"revision\":5,\"route_table\":null,\"service_table\":[]}"] {
        let base = ConfigDocument::parse_committed(old).expect("committed");
        let change =
            json!({"revision": 9, "upsert": {"service_table": [{"name": "s"}], "route_table": [route("a", "/")]}});
        let next = base.apply(&ConfigPatch::parse(&change.to_string()).expect("a valid patch")).expect("valid");
        assert_eq!(ConfigDocument::parse(next.text()), Ok(next));
    }
}

#[test]
fn api_keys_are_required_while_there_is_a_tenant_table() {
    let names: Vec<String> = base().config().tenant_table.iter().map(|tenant| tenant.name.clone()).collect();
    assert!(!names.is_empty() && base().config().requires_keys);
    let emptied = accepted(&json!({"revision": 900_001, "withdraw": {"tenant_table": names}}));
    assert_eq!((emptied.config().tenant_table.len(), emptied.config().requires_keys), (0, true));
    let mut without_tenants = valid();
    without_tenants.as_object_mut().expect("an object").remove("tenant_table");
    assert!(
        !ConfigDocument::parse(&without_tenants.to_string()).expect("a valid configuration").config().requires_keys
    );
}
