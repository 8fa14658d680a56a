//! Tests of the text of a configuration: strict JSON, and the types and ranges of single values.

use serde_json::{json, Value};

use super::bounds::MAX_DURATION_MS;
use super::{read, ConfigError, ConfigErrorKind, Item, Limits, Syntax, MAX_TEXT_BYTES};
use crate::testing::samples::{accepted, rejected, rejection, valid};

#[test]
fn a_text_other_than_a_single_json_value_is_rejected() {
    let text = valid().to_string();
    let syntax = |text: &str| match rejection(text).kind {
        ConfigErrorKind::Syntax { syntax, .. } => syntax,
        other => panic!("{other:?}"),
    };
    for cut in 0..text.len() {
        assert_eq!(syntax(&text[..cut]), Syntax::UnexpectedEnd, "cut at {cut}");
    }
    for suffix in [" x", "{}", "]", "}", ",", "\0", "\u{feff}", " null"] {
        assert_eq!(syntax(&format!("{text}{suffix}")), Syntax::TrailingCharacters, "{suffix:?}");
    }
    for bad in [format!("\u{feff}{text}"), text.replace("3000", "1e400"), text.replace("3000", "03000")] {
        assert_eq!(syntax(&bad), Syntax::Malformed);
    }
    assert!(read(&format!(" \n{text}\r\n ")).is_ok(), "surrounding whitespace is accepted");
}

#[test]
fn a_duplicate_field_at_any_depth_is_rejected() {
    let text = valid().to_string();
    let cases = [
        ("\"revision\":7", "\"revision\":7,\"revision\":7", "revision"),
        ("\"weight\":10", "\"weight\":10,\"weight\":10", "route_table[0].traffic_split[1].weight"),
        ("\"name\":\"m\"", "\"name\":\"m\",\"n\\u0061me\":\"m\"", "service_table[0].engine.model_list[0].name"),
        ("\"new\":1", "\"new\":{\"x\":[{\"y\":1,\"y\":1}]}", "route_table[0].?.?[0].?"),
    ];
    for (from, to, path) in cases {
        let error = rejection(&text.replacen(from, to, 1));
        assert_eq!(error, ConfigError { item: Item::Field(path.into()), kind: ConfigErrorKind::DuplicateField });
    }
    let fields: Vec<String> = (0..60).map(|number| format!("\"f{}\":1", number % 59)).collect();
    let error = rejection(&text.replacen("\"new\":1", &format!("\"new\":{{{}}}", fields.join(",")), 1));
    assert_eq!(error.kind, ConfigErrorKind::DuplicateField);
}

#[test]
fn a_revision_other_than_a_positive_integer_is_rejected() {
    for bad in ["0", "null", "-1", "7.0", "1e3", "\"7\"", "true", "18446744073709551616", "[7]"] {
        let error = rejection(&valid().to_string().replacen("\"revision\":7", &format!("\"revision\":{bad}"), 1));
        assert_eq!(error.item, Item::Field("revision".into()), "{bad}");
    }
    assert!(rejected(|value| drop(value.as_object_mut().expect("an object").remove("revision"))).contains("revision"));
    assert_eq!(accepted(|value| value["revision"] = u64::MAX.into()).revision, u64::MAX);
}

#[test]
fn large_numbers_are_clamped_and_invalid_ones_are_rejected() {
    for bad in [json!(-1), json!(0.5), json!("3000"), json!(true), json!([1])] {
        for field in ["timeout_ms", "target_ms", "priority", "retry_count", "gap_target_ms"] {
            let error = rejected(|value| value["route_table"][0][field] = bad.clone());
            assert!(error.starts_with(&format!("route `r-1`: {field}")), "{error}");
        }
    }
    for zero in [json!(0), json!(0.0), json!(-0.0), Value::Null] {
        assert!(rejected(|value| value["route_table"][0]["timeout_ms"] = zero)
            .contains("`r-1`: timeout_ms is 0, it must be at least 1"));
    }
    for (written, decoded) in [(json!(3000.0), 3000), (json!(3e3), 3000), (json!(u64::MAX), MAX_DURATION_MS)] {
        assert_eq!(
            accepted(|value| value["route_table"][0]["timeout_ms"] = written).route_table[0].timeout_ms,
            decoded
        );
    }
    let large = accepted(|value| {
        value["route_table"][0]["priority"] = json!(1u64 << 40);
        value["route_table"][0]["timeout_ms"] = json!(1e30);
        value["service_table"][0]["max_connections"] = json!(1u64 << 40);
        value["limits"]["max_body_bytes"] = json!(1e30);
    });
    assert_eq!((large.route_table[0].priority, large.service_table[0].max_connections), (u32::MAX, u32::MAX));
    assert_eq!((large.route_table[0].timeout_ms, large.limits.max_body_bytes), (MAX_DURATION_MS, u64::MAX));
    for (table, field) in
        [("service_table", "ramp_per_s"), ("tenant_table", "rate_per_s"), ("tenant_table", "burst_size")]
    {
        assert!(rejected(|value| value[table][0][field] = json!(-0.5)).contains(field));
    }
    assert!(rejected(|value| value["service_table"][0]["engine"]["kv_hold_s"] = json!(-1)).contains("`s`: kv_hold_s"));
    assert!(
        rejected(|value| value["service_table"][0]["engine"]["model_list"] = json!([{}])).contains("`s`: model_list")
    );
}

#[test]
fn null_fields_count_as_missing_and_unknown_fields_are_ignored() {
    let config = accepted(|value| {
        for (table, fields) in [
            ("route_table", &["target_ms", "priority", "retry_count", "persistent", "allowed_regions", "service"][..]),
            ("service_table", &["health_path", "max_connections", "warmup_s", "engine"][..]),
            ("tenant_table", &["priority", "rate_per_s", "burst_size", "api_keys"][..]),
        ] {
            fields.iter().for_each(|field| value[table][0][field] = Value::Null);
        }
        value["limits"]["idle_timeout_ms"] = Value::Null;
        value["later"] = json!([{"deep": [[[]]]}]);
    });
    assert_eq!((config.route_table[0].retry_count, config.service_table[0].health_path.as_str()), (1, "/health"));
    assert_eq!(config.limits.idle_timeout_ms, Limits::default().idle_timeout_ms);
    assert_eq!(accepted(|value| value["limits"] = Value::Null).limits, Limits::default());
    assert!(rejected(|value| value["limits"] = json!([])).starts_with("limits"));
    assert!(rejected(|value| value["limits"]["idle_timeout_ms"] = json!("x")).starts_with("limits: idle_timeout_ms"));
}

#[test]
fn a_text_too_deep_too_long_or_with_too_many_values_is_rejected() {
    let with_value = |json: &str| valid().to_string().replacen("\"new\":1", &format!("\"new\":{json}"), 1);
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let deep = with_value(&format!("{}1{}", open.repeat(200_000), close.repeat(200_000)));
        assert_eq!(rejection(&deep).kind, ConfigErrorKind::TooDeep);
        assert_eq!(rejection(&with_value(&open.repeat(200_000))).kind, ConfigErrorKind::TooDeep);
        assert!(read(&with_value(&format!("{}1{}", open.repeat(50), close.repeat(50)))).is_ok());
    }
    let error = rejection(&with_value(&format!("[{}0]", "0,".repeat(1_100_000))));
    assert_eq!((error.status(), error.kind), (413, ConfigErrorKind::TooManyValues));
    let long = with_value(&format!("\"{}\"", "x".repeat(MAX_TEXT_BYTES)));
    assert_eq!(rejection(&long).status(), 413);
}
