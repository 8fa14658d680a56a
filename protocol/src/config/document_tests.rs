//! Whole configurations: how their items fit together, and what is refused with the item named.
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
fn each_error_names_its_item() {
    assert!(
        rejected(|value| value["route_table"][1]["service"] = "gone".into()).contains("`r-2`: unknown service `gone`")
    );
    assert!(rejected(|value| value["route_table"][1]["timeout_ms"] = 0.into()).contains("`r-2`: timeout_ms"));
    let same = rejected(|value| {
        value["route_table"][1]["hostname"] = "a.example".into();
        value["route_table"][1]["path_prefix"] = "/x/".into();
    });
    assert!(same.contains("`r-2`") && same.contains("`r-1`"));
    let light = rejected(|value| {
        value["route_table"][0]["traffic_split"] = json!([{"service": "s", "weight": 0}]);
    });
    assert!(light.contains("`r-1`: weights"));
    assert!(rejected(|value| value["route_table"][0]["timeout_ms"] = (-4).into()).contains("timeout_ms"));
    assert!(read(&valid().to_string()[..300]).is_err());
    assert!(read("").is_err());
    assert!(read("[]").is_err());
}

/// A whole one carries routes and services: without a table it would withdraw all of them.
#[test]
fn both_tables_must_be_there() {
    for table in ["route_table", "service_table"] {
        let without = rejected(|value| drop(value.as_object_mut().expect("an object").remove(table)));
        assert_eq!(without, format!("body: {table} missing"));
        assert_eq!(rejected(|value| value[table] = Value::Null), without, "null is nothing");
        assert!(rejected(|value| value[table] = json!({})).starts_with(table));
        assert!(rejected(|value| value[table] = json!([7])).starts_with(&format!("{table}[0]")));
    }
    let empty = accepted(|value| {
        value["route_table"] = json!([]);
        value["service_table"] = json!([]);
    });
    assert!(empty.route_table.is_empty() && empty.service_table.is_empty(), "an empty one is one");
}

#[test]
fn a_service_that_no_traffic_goes_to_must_be_known_too() {
    let beside = rejected(|value| value["route_table"][0]["service"] = "gone".into());
    assert_eq!(beside, "route `r-1`: unknown service `gone`");
    let unused = rejected(|value| {
        value["route_table"][0]["traffic_split"] = json!([{"service": "s"}, {"service": "gone", "weight": 0}]);
    });
    assert_eq!(unused, beside);
    assert!(
        rejected(|value| value["route_table"][0]["traffic_split"] = json!([{"weight": 1}])).contains("unknown service")
    );
    assert!(rejected(|value| value["route_table"][1]["service"] = "".into()).contains("no service"));
    accepted(|value| value["route_table"][0]["service"] = "s".into());
    accepted(|value| value["route_table"][0]["service"] = Value::Null);
    accepted(|value| value["route_table"][1]["traffic_split"] = json!([]));
}

#[test]
fn weights_of_any_size_are_served_in_their_proportions() {
    let config = accepted(|value| {
        value["route_table"][0]["traffic_split"] = json!([{"service": "s", "weight": u64::MAX},
            {"service": "s", "weight": u64::MAX}, {"service": "s", "weight": 1}, {"service": "s", "weight": 0}]);
    });
    let weights: Vec<u64> = targets(&config.route_table[0]).iter().map(|(_, weight)| *weight).collect();
    assert!(weights.iter().map(|weight| u128::from(*weight)).sum::<u128>() <= u128::from(u64::MAX));
    assert!(weights[0] == weights[1] && weights[2] == 1 && weights[3] == 0, "{weights:?}");
}

/// A router looks `h:80` up under `h` where it holds no route of that very name.
#[test]
fn hosts_that_a_look_up_cannot_tell_apart_are_one() {
    for (one, two) in
        [("h", "h:80"), ("h:8080", "h:80"), ("H.example", "h.EXAMPLE"), ("[::1]:80", "[::1]"), ("h:", "h")]
    {
        let same = rejected(|value| {
            for (at, host) in [one, two].into_iter().enumerate() {
                value["route_table"][at]["hostname"] = host.into();
                value["route_table"][at]["path_prefix"] = "/x/".into();
            }
        });
        assert_eq!(same, "route `r-2`: hostname and path_prefix are those of `r-1`");
        let other = accepted(|value| {
            value["route_table"][0]["hostname"] = one.into();
            value["route_table"][1]["hostname"] = two.into();
        });
        assert_eq!(other.route_table[0].hostname, other.route_table[1].hostname, "other prefixes of one host");
    }
    for (one, two) in [("h", "h."), ("h", "g"), ("::1", "::")] {
        accepted(|value| {
            for (at, host) in [one, two].into_iter().enumerate() {
                value["route_table"][at]["hostname"] = host.into();
                value["route_table"][at]["path_prefix"] = "/x/".into();
            }
        });
    }
}

#[test]
fn items_have_names_of_their_own() {
    for (table, item) in
        [("route_table", "route `r-1`"), ("service_table", "service `s`"), ("tenant_table", "tenant `t-1`")]
    {
        let twice = rejected(|value| {
            let mut again = value[table][0].clone();
            again["hostname"] = "z".into();
            again["api_keys"] = json!([]);
            value[table].as_array_mut().expect("a table").push(again);
        });
        assert_eq!(twice, format!("{item}: name used twice"));
        for name in [Value::Null, "".into()] {
            let nameless = rejected(|value| value[table][0]["name"] = name);
            assert_eq!(nameless, format!("{table}[0]: name missing"));
        }
    }
}

#[test]
fn keys_belong_to_one_tenant_and_appear_in_no_error() {
    let shared = rejected(|value| value["tenant_table"][1]["api_keys"][0] = format!("{KEY}1").into());
    assert_eq!(shared, "tenant `t-2`: a key is also a key of tenant `t-1`");
    accepted(|value| value["tenant_table"][0]["api_keys"][1] = format!("{KEY}1").into());
    accepted(|value| value["tenant_table"][0]["api_keys"] = json!([]));
    assert_eq!(rejected(|value| value["tenant_table"][0]["api_keys"][1] = "".into()), "tenant `t-1`: an empty key");
    // Where a key stands in place of something else.
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
fn a_prefix_stands_between_slashes_and_a_type_is_one_of_three() {
    for bad in ["", "x/", "/x", "x"] {
        assert!(rejected(|value| value["route_table"][0]["path_prefix"] = bad.into()).contains("`r-1`: path_prefix"));
    }
    accepted(|value| value["route_table"][0]["path_prefix"] = "/".into());
    assert!(rejected(|value| value["route_table"][0]["route_type"] = "other".into()).contains("`r-1`: route_type"));
    assert!(rejected(|value| value["route_table"][0]["hostname"] = "".into()).contains("`r-1`: hostname"));
    assert!(rejected(|value| value["route_table"][0]["hostname"] = ":80".into()).contains("`r-1`: hostname"));
}

/// Whatever an earlier version took and committed is in force, and must be read as that version read it.
#[test]
fn what_was_committed_before_is_read_as_it_was() {
    let text = valid().to_string();
    let old = [
        format!("{text} x"),
        text.replacen("\"new\":1", "\"new\":{\"x\":1,\"x\":2}", 1),
        text.replacen(
            "\"retry_count\":1",
            "\"retry_count\":1,\"traffic_split\":[{\"service\":\"s\"}],\"service\":\"gone\"",
            1,
        )
        .replacen("\"service\":\"s\",\"retry", "\"retry", 1),
    ];
    for text in old {
        read(&text).expect_err("refused from an operator now");
        let checked = ConfigDocument::parse_committed(&text).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!((checked.revision(), checked.config().route_table.len()), (7, 2));
        assert_eq!(checked.text(), text);
    }
    let bare = ConfigDocument::parse_committed("{\"revision\":5}").expect("it withdrew every route");
    assert!(bare.revision() == 5 && bare.config().route_table.is_empty());
    assert!(ConfigDocument::parse_committed("{\"revision\":5").is_err());
    assert!(ConfigDocument::parse_committed("5").is_err());
}

/// Names come from the body: an error stays short, and on one line.
#[test]
fn names_in_errors_are_bounded() {
    let long = "n\n".repeat(100_000);
    let error = rejected(|value| {
        value["route_table"][0]["name"] = long.clone().into();
        value["route_table"][0]["service"] = long.into();
    });
    assert!(error.len() < 600 && !error.contains('\n'), "{}", error.len());
}
