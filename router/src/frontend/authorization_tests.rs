use http::{HeaderMap, HeaderValue};
use load_balancing::EngineTable;
use protocol::config;
use protocol::config_update::ConfigUpdate;
use serde_json::Value;

use super::{api_key_digest, Authorization, UnknownKey};
use crate::config::routing_table::RoutingTable;
use crate::config::tenants::KeyDigest;

fn headers(values: &[&[u8]]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for value in values {
        map.append("authorization", HeaderValue::from_bytes(value).expect("value"));
    }
    map
}

#[test]
fn a_key_is_carried_once_and_under_one_scheme() {
    let good: [&[u8]; 6] = [b"Bearer k1", b"bearer k1", b"BEARER k1", b"Bearer   k1", b"Bearer\tk1 ", b" Bearer k1\t"];
    for value in good {
        assert_eq!(api_key_digest(&headers(&[value])), Some(KeyDigest::of(b"k1")), "{value:?}");
    }
    let bad: [&[u8]; 11] = [
        b"",
        b" ",
        b"Bearer",
        b"Bearer ",
        b"Bearer \t",
        b"k1",
        b"Basic k1",
        b"Bearerk1",
        b"Bearer:k1",
        b"Bearer\xa0k1",
        b"B\xe9arer k1",
    ];
    for value in bad {
        assert_eq!(api_key_digest(&headers(&[value])), None, "{value:?}");
    }
    assert_eq!(api_key_digest(&headers(&[])), None);
    for other in [&b"Bearer k1"[..], b"Bearer k2", b"", b"Basic k1"] {
        assert_eq!(api_key_digest(&headers(&[b"Bearer k1", other])), None, "more than one says nothing: {other:?}");
        assert_eq!(api_key_digest(&headers(&[other, b"Bearer k1"])), None, "{other:?}");
    }
}

#[test]
fn what_is_no_key_as_it_stands_is_another_key() {
    for value in [
        &b"Bearer k1,k2"[..],
        b"Bearer k1, Bearer k1",
        b"Bearer K1",
        b"Bearer \"k1\"",
        b"Bearer k1 k1",
        b"Bearer k\xe9",
    ] {
        assert_ne!(api_key_digest(&headers(&[value])), Some(KeyDigest::of(b"k1")), "{value:?}");
    }
}

/// A configuration with the routes `keyed` and `open`; the latter is anonymous where that is `open`.
fn table(tenants: Value, open: bool) -> RoutingTable {
    table_of(&[("keyed", false), ("open", open)], tenants)
}

fn table_of(routes: &[(&str, bool)], tenants: Value) -> RoutingTable {
    let route = |(name, anonymous): &(&str, bool)| {
        serde_json::json!({"name": name, "hostname": "h", "path_prefix": format!("/{name}/"), "service": "s",
            "route_type": "streaming", "timeout_ms": 5, "priority": 3, "allowed_regions": ["r"], "anonymous": anonymous})
    };
    let text = serde_json::json!({"revision": 1, "service_table": [{"name": "s"}],
        "route_table": routes.iter().map(route).collect::<Vec<_>>(), "tenant_table": tenants});
    let config = config::read(&text.to_string()).expect("good");
    let change = ConfigUpdate::full(&config);
    RoutingTable::default().apply(&change, &mut EngineTable::default()).expect("newer")
}

fn tenants() -> Value {
    serde_json::json!([{"name": "one", "api_keys": ["k1"], "priority": 0, "allowed_regions": ["q", "r"]},
        {"name": "two", "api_keys": ["k2"]}])
}

fn grant(table: &RoutingTable, route: &str, key: Option<&str>) -> Result<Authorization, UnknownKey> {
    let route = table.find("h", &format!("/{route}/x")).expect("there");
    Authorization::grant(table, route, key.map(|key| KeyDigest::of(key.as_bytes())))
}

/// Returns the tenant that an engine is given; `None` if the request is rejected, empty if it has no tenant.
fn named(table: &RoutingTable, route: &str, key: Option<&str>) -> Option<String> {
    let granted = grant(table, route, key).ok()?;
    let mut headers = HeaderMap::new();
    granted.rewrite_headers(&mut headers);
    Some(headers.get("tenant").map_or(String::new(), |name| name.to_str().expect("text").into()))
}

#[test]
fn a_route_needs_a_known_key_where_there_are_tenants_unless_it_is_anonymous() {
    let table = table(tenants(), true);
    let found = [Some("k1"), Some("k2"), Some("k3"), None].map(|key| named(&table, "keyed", key));
    assert_eq!(found, [Some("one".to_string()), Some("two".to_string()), None, None]);
    // A known key counts there too: the engine is given its tenant.
    let found = [Some("k1"), Some("k3"), None].map(|key| named(&table, "open", key));
    assert_eq!(found, [Some("one".to_string()), Some(String::new()), Some(String::new())]);
    let without = self::table(Value::Null, false);
    let found = [Some("k1"), None].map(|key| named(&without, "keyed", key));
    assert_eq!(found, [Some(String::new()), Some(String::new())]);
}

#[test]
fn the_tenants_priority_precedes_the_routes_and_both_region_lists_apply() {
    let table = table(tenants(), true);
    let granted = |key| grant(&table, "open", key).expect("granted");
    assert_eq!([Some("k1"), Some("k2"), None].map(|key| granted(key).priority()), [0, 3, 3]);
    let of_route = &["r".to_string()][..];
    assert_eq!(granted(Some("k1")).allowed_regions(), [of_route, &["q".to_string(), "r".to_string()]]);
    assert_eq!(granted(Some("k2")).allowed_regions(), [of_route, &[]]);
    assert_eq!(granted(None).allowed_regions(), [of_route, &[]]);
}

#[test]
fn an_authorization_is_valid_while_its_tenant_has_the_key_and_the_same_regions() {
    let first = table(tenants(), true);
    let next = |change: &dyn Fn(&mut Value)| {
        let mut list = tenants();
        change(&mut list);
        table(list, true)
    };
    let granted = grant(&first, "keyed", Some("k1")).expect("granted");
    assert!(granted.is_still_valid(&first));
    assert!(granted.is_still_valid(&next(&|list| list[0]["priority"] = 5.into())), "still the same tenant's");
    assert!(granted.is_still_valid(&next(&|list| list[0]["api_keys"] = serde_json::json!(["k9", "k1"]))));
    assert!(granted.is_still_valid(&next(&|list| list[1]["api_keys"] = serde_json::json!([]))), "another's key");
    assert!(!granted.is_still_valid(&next(&|list| list[0]["api_keys"] = serde_json::json!(["k9"]))), "revoked");
    assert!(
        !granted.is_still_valid(&next(&|list| drop(list.as_array_mut().expect("list").remove(0)))),
        "its tenant is gone"
    );
    assert!(
        !granted.is_still_valid(&next(&|list| list[0]["allowed_regions"] = serde_json::json!(["q"]))),
        "other homes"
    );
    let moved = next(&|list| {
        list[0]["api_keys"] = serde_json::json!([]);
        list[1]["api_keys"] = serde_json::json!(["k1", "k2"]);
    });
    assert!(!granted.is_still_valid(&moved), "the engine was to be told another tenant");
    assert!(!granted.is_still_valid(&table(serde_json::json!([]), true)), "there are no tenants any more");
}

#[test]
fn an_authorization_without_a_key_is_valid_while_none_is_needed() {
    let (open, closed) = (table(tenants(), true), table(tenants(), false));
    let anonymous = grant(&open, "open", None).expect("granted");
    assert!(
        anonymous.is_still_valid(&open) && !anonymous.is_still_valid(&closed),
        "the route is not anonymous any more"
    );
    let without = table(Value::Null, false);
    let early = grant(&without, "keyed", None).expect("granted");
    assert!(early.is_still_valid(&without) && !early.is_still_valid(&closed), "there are tenants now");
    let stranger = grant(&without, "keyed", Some("k1")).expect("granted");
    assert!(!stranger.is_still_valid(&closed), "its key is a tenant's now, which no engine was told");
    let gone = table_of(&[("keyed", false)], tenants());
    assert!(anonymous.is_still_valid(&gone), "of a route that is gone the last word counts");
}

#[test]
fn neither_the_key_nor_a_tenant_named_by_the_client_is_forwarded() {
    let with = table(tenants(), true);
    for (route, key, expected) in [("keyed", Some("k1"), Some("one")), ("open", None, None), ("open", Some("k3"), None)]
    {
        let mut map = headers(&[b"Bearer k1", b"Basic x"]);
        for name in ["two", "three"] {
            map.append("tenant", name.parse().expect("value"));
        }
        map.insert("x-other", "kept".parse().expect("value"));
        grant(&with, route, key).expect("granted").rewrite_headers(&mut map);
        let names: Vec<_> = map.get_all("tenant").iter().map(|name| name.to_str().expect("text")).collect();
        assert_eq!(names, expected.into_iter().collect::<Vec<_>>());
        assert!(!map.contains_key("authorization") && map.contains_key("x-other"));
    }
}
