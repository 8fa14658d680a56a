//! Tests of whole configurations: consistency between items, and errors that name the invalid item.
use super::{read, targets, ConfigDocument};
use crate::testing::samples::{accepted, rejected, rejection, valid, KEY};
use serde_json::{json, Value};

#[test]
fn a_valid_configuration_is_decoded_completely() {
    let config = accepted(|_| {});
    assert_eq!(config.revision, 7);
    assert_eq!(targets(&config.route_table[0]), [("s", 90), ("s", 10)]);
    assert_eq!(config.service_table[0].engine.as_ref().expect("engine").kv_hold_s, 5.0);
    assert_eq!(config.limits.idle_timeout_ms, 15000);
    assert_eq!((config.tenant_table[0].priority, config.tenant_table[1].priority), (Some(1), None));
    assert_eq!(config.tenant_table[0].rate_per_s, 47.0);
    assert!(config.route_table[0].persistent && !config.route_table[1].anonymous);
}

#[test]
fn an_invalid_configuration_is_rejected_with_the_item_named() {
    assert!(rejected(|value| value["route_table"][1]["service"] = "gone".into())
        .contains("`r-2`: unknown service `gone`, it must be in service_table"));
    assert!(rejected(|value| value["route_table"][1]["timeout_ms"] = 0.into()).contains("`r-2`: timeout_ms"));
    let duplicate_match = rejected(|value| {
        value["route_table"][1]["hostname"] = "a.example".into();
        value["route_table"][1]["path_prefix"] = "/x/".into();
    });
    assert!(duplicate_match.contains("`r-2`") && duplicate_match.contains("`r-1`"));
    let zero_weights = rejected(|value| {
        value["route_table"][0]["traffic_split"] = json!([{"service": "s", "weight": 0}]);
    });
    assert!(zero_weights.contains("`r-1`: weights"));
    assert!(rejected(|value| value["route_table"][0]["timeout_ms"] = (-4).into()).contains("timeout_ms"));
    assert!(read(&valid().to_string()[..300]).is_err());
    assert!(read("").is_err());
    assert!(read("[]").is_err());
}

/// A whole configuration without a route or service table would remove all routes or services.
#[test]
fn a_configuration_without_the_route_or_service_table_is_rejected() {
    for table in ["route_table", "service_table"] {
        let missing = rejected(|value| drop(value.as_object_mut().expect("an object").remove(table)));
        assert_eq!(missing, format!("body: {table} is missing"));
        assert_eq!(rejected(|value| value[table] = Value::Null), missing, "a null table counts as missing");
        assert!(rejected(|value| value[table] = json!({})).starts_with(table));
        assert!(rejected(|value| value[table] = json!([7])).starts_with(&format!("{table}[0]")));
    }
    let empty = accepted(|value| {
        value["route_table"] = json!([]);
        value["service_table"] = json!([]);
    });
    assert!(empty.route_table.is_empty() && empty.service_table.is_empty(), "empty tables are accepted");
}

#[test]
fn an_unknown_service_without_traffic_is_rejected() {
    let unused_service = rejected(|value| value["route_table"][0]["service"] = "gone".into());
    assert_eq!(unused_service, "route `r-1`: unknown service `gone`, it must be in service_table");
    let zero_weight = rejected(|value| {
        value["route_table"][0]["traffic_split"] = json!([{"service": "s"}, {"service": "gone", "weight": 0}]);
    });
    assert_eq!(zero_weight, unused_service);
    assert!(
        rejected(|value| value["route_table"][0]["traffic_split"] = json!([{"weight": 1}])).contains("unknown service")
    );
    assert!(rejected(|value| value["route_table"][1]["service"] = "".into())
        .contains("no service, set service or traffic_split"));
    accepted(|value| value["route_table"][0]["service"] = "s".into());
    accepted(|value| value["route_table"][0]["service"] = Value::Null);
    accepted(|value| value["route_table"][1]["traffic_split"] = json!([]));
}

#[test]
fn weights_of_any_size_keep_their_proportions() {
    let config = accepted(|value| {
        value["route_table"][0]["traffic_split"] = json!([{"service": "s", "weight": u64::MAX},
            {"service": "s", "weight": u64::MAX}, {"service": "s", "weight": 1}, {"service": "s", "weight": 0}]);
    });
    let weights: Vec<u64> = targets(&config.route_table[0]).iter().map(|(_, weight)| *weight).collect();
    assert!(weights.iter().map(|weight| u128::from(*weight)).sum::<u128>() <= u128::from(u64::MAX));
    assert!(weights[0] == weights[1] && weights[2] == 1 && weights[3] == 0, "{weights:?}");
}

/// A router serves requests to `h:80` by the routes of `h` if it has none for `h:80` itself.
#[test]
fn hostnames_that_route_lookup_treats_as_equal_are_duplicates() {
    for (first, second) in
        [("h", "h:80"), ("h:8080", "h:80"), ("H.example", "h.EXAMPLE"), ("[::1]:80", "[::1]"), ("h:", "h")]
    {
        let duplicate = rejected(|value| {
            for (index, host) in [first, second].into_iter().enumerate() {
                value["route_table"][index]["hostname"] = host.into();
                value["route_table"][index]["path_prefix"] = "/x/".into();
            }
        });
        assert_eq!(duplicate, "route `r-2`: same hostname and path_prefix as route `r-1`");
        let distinct = accepted(|value| {
            value["route_table"][0]["hostname"] = first.into();
            value["route_table"][1]["hostname"] = second.into();
        });
        assert_eq!(distinct.route_table[0].hostname, distinct.route_table[1].hostname, "one host, different prefixes");
    }
    for (first, second) in [("h", "h."), ("h", "g"), ("::1", "::")] {
        accepted(|value| {
            for (index, host) in [first, second].into_iter().enumerate() {
                value["route_table"][index]["hostname"] = host.into();
                value["route_table"][index]["path_prefix"] = "/x/".into();
            }
        });
    }
}

#[test]
fn an_item_with_a_duplicate_or_missing_name_is_rejected() {
    for (table, item) in
        [("route_table", "route `r-1`"), ("service_table", "service `s`"), ("tenant_table", "tenant `t-1`")]
    {
        let duplicate = rejected(|value| {
            let mut copy = value[table][0].clone();
            copy["hostname"] = "z".into();
            copy["api_keys"] = json!([]);
            value[table].as_array_mut().expect("a table").push(copy);
        });
        assert_eq!(duplicate, format!("{item}: duplicate name, names must be unique within a table"));
        for name in [Value::Null, "".into()] {
            let nameless = rejected(|value| value[table][0]["name"] = name);
            assert_eq!(nameless, format!("{table}[0]: name is missing"));
        }
    }
}

#[test]
fn a_shared_or_misplaced_api_key_is_rejected_without_being_shown() {
    let shared = rejected(|value| value["tenant_table"][1]["api_keys"][0] = format!("{KEY}1").into());
    assert_eq!(shared, "tenant `t-2`: api_keys contains a key that also belongs to tenant `t-1`");
    accepted(|value| value["tenant_table"][0]["api_keys"][1] = format!("{KEY}1").into());
    accepted(|value| value["tenant_table"][0]["api_keys"] = json!([]));
    assert_eq!(
        rejected(|value| value["tenant_table"][0]["api_keys"][1] = "".into()),
        "tenant `t-1`: api_keys contains an empty key"
    );
    // A key in the place of another value.
    let key = || Value::from(format!("{KEY}9"));
    let fields = [("rate_per_s", key()), ("burst_size", key()), ("api_keys", key()), ("priority", key())];
    for (field, value) in fields {
        let error = rejected(|config| config["tenant_table"][0][field] = value);
        assert!(error.starts_with(&format!("tenant `t-1`: {field}")), "{error}");
    }
    rejected(|config| config["tenant_table"] = json!({KEY: 1}));
    rejected(|config| config["tenant_table"] = json!([key()]));
    rejection(&valid().to_string().replace("\"api_keys\":", &format!("\"{KEY}\":1,\"{KEY}\":2,\"api_keys\":")));
}

#[test]
fn an_invalid_path_prefix_route_type_or_hostname_is_rejected() {
    for bad in ["", "x/", "/x", "x"] {
        assert!(rejected(|value| value["route_table"][0]["path_prefix"] = bad.into()).contains("`r-1`: path_prefix"));
    }
    accepted(|value| value["route_table"][0]["path_prefix"] = "/".into());
    assert!(rejected(|value| value["route_table"][0]["route_type"] = "other".into()).contains("`r-1`: route_type"));
    assert!(rejected(|value| value["route_table"][0]["hostname"] = "".into()).contains("`r-1`: hostname"));
    assert!(rejected(|value| value["route_table"][0]["hostname"] = ":80".into()).contains("`r-1`: hostname"));
}

/// A configuration that an earlier version committed is in force and must be read as that version read it.
#[test]
fn a_configuration_committed_by_an_earlier_version_is_still_read() {
    let text = valid().to_string();
    let committed = [
        format!("{text} x"),
        text.replacen("\"new\":1", "\"new\":{\"x\":1,\"x\":2}", 1),
        text.replacen(
            "\"retry_count\":1",
            "\"retry_count\":1,\"traffic_split\":[{\"service\":\"s\"}],\"service\":\"gone\"",
            1,
        )
        .replacen("\"service\":\"s\",\"retry", "\"retry", 1),
    ];
    for text in committed {
        read(&text).expect_err("no longer accepted from an operator");
        let document = ConfigDocument::parse_committed(&text).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!((document.revision(), document.config().route_table.len()), (7, 2));
        assert_eq!(document.text(), text);
    }
    let without_tables = ConfigDocument::parse_committed("{\"revision\":5}").expect("missing tables count as empty");
    assert!(without_tables.revision() == 5 && without_tables.config().route_table.is_empty());
    assert!(ConfigDocument::parse_committed("{\"revision\":5").is_err());
    assert!(ConfigDocument::parse_committed("5").is_err());
}

/// Names come from the body, so an error must truncate and escape them to stay short and on one line.
#[test]
fn a_long_name_is_truncated_and_escaped_in_errors() {
    let long = "n\n".repeat(100_000);
    let error = rejected(|value| {
        value["route_table"][0]["name"] = long.clone().into();
        value["route_table"][0]["service"] = long.into();
    });
    assert!(error.len() < 600 && !error.contains('\n'), "{}", error.len());
}
