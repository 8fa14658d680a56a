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
fn only_a_single_bearer_key_is_accepted() {
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
        assert_eq!(api_key_digest(&headers(&[b"Bearer k1", other])), None, "a repeated header is ignored: {other:?}");
        assert_eq!(api_key_digest(&headers(&[other, b"Bearer k1"])), None, "{other:?}");
    }
}

#[test]
fn a_key_is_compared_verbatim() {
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

/// Returns a routing table with the routes `keyed`, which requires a key, and `open`, which may be anonymous.
fn table(tenants: Value, is_open_anonymous: bool) -> RoutingTable {
    table_with_routes(&[("keyed", false), ("open", is_open_anonymous)], tenants)
}

fn table_with_routes(routes: &[(&str, bool)], tenants: Value) -> RoutingTable {
    let route = |(name, anonymous): &(&str, bool)| {
        serde_json::json!({"name": name, "hostname": "h", "path_prefix": format!("/{name}/"), "service": "s",
            "route_type": "streaming", "timeout_ms": 5, "priority": 3, "allowed_regions": ["r"], "anonymous": anonymous})
    };
    let text = serde_json::json!({"revision": 1, "service_table": [{"name": "s"}],
        "route_table": routes.iter().map(route).collect::<Vec<_>>(), "tenant_table": tenants});
    let config = config::read(&text.to_string()).expect("valid configuration");
    let change = ConfigUpdate::full(&config);
    RoutingTable::default().apply(&change, &mut EngineTable::default()).expect("newer revision")
}

fn tenants() -> Value {
    serde_json::json!([{"name": "one", "api_keys": ["k1"], "priority": 0, "allowed_regions": ["q", "r"]},
        {"name": "two", "api_keys": ["k2"]}])
}

fn grant(table: &RoutingTable, route: &str, key: Option<&str>) -> Result<Authorization, UnknownKey> {
    let route = table.find("h", &format!("/{route}/x")).expect("route exists");
    Authorization::grant(table, route, key.map(|key| KeyDigest::of(key.as_bytes())))
}

/// Returns the tenant header that an engine receives; `None` if the request is rejected, empty if it has no tenant.
fn forwarded_tenant(table: &RoutingTable, route: &str, key: Option<&str>) -> Option<String> {
    let granted = grant(table, route, key).ok()?;
    let mut headers = HeaderMap::new();
    granted.rewrite_headers(&mut headers);
    Some(headers.get("tenant").map_or(String::new(), |name| name.to_str().expect("text").into()))
}

#[test]
fn a_route_needs_a_known_key_where_there_are_tenants_unless_it_is_anonymous() {
    let table = table(tenants(), true);
    let forwarded = [Some("k1"), Some("k2"), Some("k3"), None].map(|key| forwarded_tenant(&table, "keyed", key));
    assert_eq!(forwarded, [Some("one".to_string()), Some("two".to_string()), None, None]);
    // On an anonymous route a known key still selects its tenant.
    let forwarded = [Some("k1"), Some("k3"), None].map(|key| forwarded_tenant(&table, "open", key));
    assert_eq!(forwarded, [Some("one".to_string()), Some(String::new()), Some(String::new())]);
    let without_tenants = self::table(Value::Null, false);
    let forwarded = [Some("k1"), None].map(|key| forwarded_tenant(&without_tenants, "keyed", key));
    assert_eq!(forwarded, [Some(String::new()), Some(String::new())]);
}

#[test]
fn the_tenants_priority_overrides_the_routes_and_both_region_lists_apply() {
    let table = table(tenants(), true);
    let granted = |key| grant(&table, "open", key).expect("granted");
    assert_eq!([Some("k1"), Some("k2"), None].map(|key| granted(key).priority()), [0, 3, 3]);
    let route_regions = &["r".to_string()][..];
    assert_eq!(granted(Some("k1")).allowed_regions(), [route_regions, &["q".to_string(), "r".to_string()]]);
    assert_eq!(granted(Some("k2")).allowed_regions(), [route_regions, &[]]);
    assert_eq!(granted(None).allowed_regions(), [route_regions, &[]]);
}

#[test]
fn an_authorization_is_valid_while_its_tenant_keeps_the_key_and_the_regions() {
    let first = table(tenants(), true);
    let next = |change: &dyn Fn(&mut Value)| {
        let mut list = tenants();
        change(&mut list);
        table(list, true)
    };
    let granted = grant(&first, "keyed", Some("k1")).expect("granted");
    assert!(granted.is_still_valid(&first));
    assert!(granted.is_still_valid(&next(&|list| list[0]["priority"] = 5.into())), "the tenant is unchanged");
    assert!(granted.is_still_valid(&next(&|list| list[0]["api_keys"] = serde_json::json!(["k9", "k1"]))));
    assert!(
        granted.is_still_valid(&next(&|list| list[1]["api_keys"] = serde_json::json!([]))),
        "another tenant lost its key"
    );
    assert!(
        !granted.is_still_valid(&next(&|list| list[0]["api_keys"] = serde_json::json!(["k9"]))),
        "the key is revoked"
    );
    assert!(
        !granted.is_still_valid(&next(&|list| drop(list.as_array_mut().expect("list").remove(0)))),
        "the tenant was removed"
    );
    assert!(
        !granted.is_still_valid(&next(&|list| list[0]["allowed_regions"] = serde_json::json!(["q"]))),
        "the allowed regions changed"
    );
    let reassigned = next(&|list| {
        list[0]["api_keys"] = serde_json::json!([]);
        list[1]["api_keys"] = serde_json::json!(["k1", "k2"]);
    });
    assert!(!granted.is_still_valid(&reassigned), "the key belongs to another tenant");
    assert!(!granted.is_still_valid(&table(serde_json::json!([]), true)), "no tenants are left");
}

#[test]
fn an_authorization_without_a_key_is_valid_while_no_key_is_required() {
    let (open, closed) = (table(tenants(), true), table(tenants(), false));
    let anonymous = grant(&open, "open", None).expect("granted");
    assert!(anonymous.is_still_valid(&open) && !anonymous.is_still_valid(&closed), "the route is no longer anonymous");
    let without_tenants = table(Value::Null, false);
    let keyless = grant(&without_tenants, "keyed", None).expect("granted");
    assert!(keyless.is_still_valid(&without_tenants) && !keyless.is_still_valid(&closed), "tenants were added");
    let unknown_key = grant(&without_tenants, "keyed", Some("k1")).expect("granted");
    assert!(!unknown_key.is_still_valid(&closed), "the key now belongs to a tenant");
    let without_route = table_with_routes(&[("keyed", false)], tenants());
    assert!(anonymous.is_still_valid(&without_route), "a removed route keeps its last setting");
}

#[test]
fn neither_the_key_nor_a_tenant_named_by_the_client_is_forwarded() {
    let table = table(tenants(), true);
    for (route, key, expected) in [("keyed", Some("k1"), Some("one")), ("open", None, None), ("open", Some("k3"), None)]
    {
        let mut map = headers(&[b"Bearer k1", b"Basic x"]);
        for name in ["two", "three"] {
            map.append("tenant", name.parse().expect("value"));
        }
        map.insert("x-other", "kept".parse().expect("value"));
        grant(&table, route, key).expect("granted").rewrite_headers(&mut map);
        let names: Vec<_> = map.get_all("tenant").iter().map(|name| name.to_str().expect("text")).collect();
        assert_eq!(names, expected.into_iter().collect::<Vec<_>>());
        assert!(!map.contains_key("authorization") && map.contains_key("x-other"));
    }
}
