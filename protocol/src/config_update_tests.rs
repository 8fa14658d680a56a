//! Tests of configuration updates and their encodings.

use std::fs;
use std::path::Path;

use serde_json::Value;

use super::{legacy_format, ConfigUpdate};
use crate::config::{Config, MAX_TEXT_BYTES};
use crate::frame::{self, Kind, HEADER_BYTES, MAX_BODY_BYTES};
use crate::message::Message;

fn text(revision: u64, routes: &[(&str, u64)]) -> String {
    let route = |(name, timeout): &(&str, u64)| {
        serde_json::json!({"name": name, "hostname": format!("{name}.example"), "path_prefix": "/", "service": "s",
            "route_type": "streaming", "timeout_ms": timeout})
    };
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}],
        "route_table": routes.iter().map(route).collect::<Vec<_>>()})
    .to_string()
}

fn config(revision: u64, routes: &[(&str, u64)]) -> Config {
    crate::config::read(&text(revision, routes)).expect("a valid configuration")
}

#[test]
fn an_update_contains_only_changed_and_removed_items() {
    let old = config(3, &[("a", 5), ("b", 5), ("c", 5)]);
    let new = config(8, &[("a", 5), ("b", 6), ("d", 5)]);
    let update = ConfigUpdate::between(&old, &new);
    let names: Vec<&str> = update.routes.iter().map(|route| route.name.as_str()).collect();
    assert_eq!((update.from, update.to, names), (3, 8, vec!["b", "d"]));
    assert_eq!(
        (update.removed_routes, update.services, update.removed_services),
        (vec!["c".to_string()], vec![], vec![])
    );
}

#[test]
fn the_size_of_an_update_depends_only_on_the_changes() {
    let names: Vec<String> = (0..3000).map(|number| format!("r{number}")).collect();
    let mut routes: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 5)).collect();
    let old = config(1, &routes);
    routes[700].1 = 9;
    let new = config(2, &routes);
    let (delta, full) = (ConfigUpdate::between(&old, &new).encode(), ConfigUpdate::full(&new).encode());
    assert!(delta.len() < 600 && full.len() > 30 * delta.len(), "{} {}", delta.len(), full.len());
    assert!(full.len() < 3000 * 40, "{} bytes for 3000 routes", full.len());
}

#[test]
fn an_update_decodes_to_itself_and_a_truncated_one_does_not_decode() {
    let update = ConfigUpdate::full(&config(3, &[("a", 5), ("b", 5)]));
    let encoded = update.encode();
    assert_eq!(ConfigUpdate::decode(&encoded), Some(update));
    for cut in 0..encoded.len() {
        assert_eq!(ConfigUpdate::decode(&encoded[..cut]), None, "cut at {cut}");
    }
}

/// Reads an update that the last version without tenants encoded: a whole configuration, or the update to the next one.
fn legacy_fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures").join(name);
    fs::read(path).expect("a readable fixture")
}

#[allow(clippy::too_many_lines)] // The literals of the expected updates are long.
#[test]
fn the_legacy_format_is_decoded_and_encoded_byte_for_byte() {
    use crate::config::{Engine, Limits, Model, Route, Service, Split};
    let split = |service: &str, weight| Split { service: service.into(), weight };
    let one = Route {
        name: "r-1".into(),
        hostname: "a.example".into(),
        path_prefix: "/x/".into(),
        route_type: "streaming".into(),
        timeout_ms: 3000,
        target_ms: 400,
        priority: 1,
        traffic_split: vec![split("service-one", 90), split("s2", 10)],
        retry_count: 2,
        persistent: true,
        resumable: true,
        gap_target_ms: 250,
        allowed_regions: vec!["tasman-south".into()],
        ..Route::default()
    };
    let two = Route {
        name: "r-2-with-a-long-name".into(),
        hostname: "b.example".into(),
        path_prefix: "/y/".into(),
        route_type: "idempotent".into(),
        timeout_ms: 8000,
        service: Some("s2".into()),
        ..Route::default()
    };
    let engine = Engine {
        slot_count: 64,
        kv_capacity: 319_972,
        kv_token_bytes: 18432.0,
        link_mbps: 370_000.0,
        kv_hold_s: 5.0,
        role_switch_s: 1.7,
        model_list: vec![Model { name: "m".into() }],
    };
    let service = Service {
        name: "service-one".into(),
        max_connections: 360,
        warmup_s: 3.0,
        ramp_per_s: 12.0,
        engine: Some(engine),
        ..Service::default()
    };
    let limits = Limits { header_timeout_ms: 3000, ..Limits::default() };
    let full = ConfigUpdate {
        from: 0,
        to: 7,
        routes: vec![one.clone(), two],
        removed_routes: Vec::new(),
        services: vec![service, Service { name: "s2".into(), ..Service::default() }],
        removed_services: Vec::new(),
        limits: limits.clone(),
        tenants: Vec::new(),
        removed_tenants: Vec::new(),
        requires_keys: false,
    };
    let delta = ConfigUpdate {
        from: 7,
        to: 9,
        routes: vec![Route { timeout_ms: 4000, ..one }],
        removed_routes: vec!["r-2-with-a-long-name".into()],
        services: Vec::new(),
        ..full.clone()
    };
    for (name, update) in [("change-3-whole.bin", full), ("change-3-step.bin", delta)] {
        let bytes = legacy_fixture(name);
        assert_eq!(
            ConfigUpdate::decode(&bytes).as_ref(),
            Some(&update),
            "a router of this version reads the legacy format"
        );
        assert_eq!(legacy_format::encode(&update), bytes, "the encoding for older routers is unchanged");
    }
}

/// A router of version 2 or 3 must not take an update in the current format for one in the legacy format.
#[test]
fn the_legacy_decoder_rejects_the_current_format() {
    let update = ConfigUpdate::full(&config(3, &[("a", 5), ("b", 5)]));
    let (new, old) = (update.encode(), legacy_format::encode(&update));
    assert_eq!(legacy_format::decode(&new), None);
    let uncompressed_len = u32::from_le_bytes(*new.first_chunk().expect("four bytes")) as usize;
    assert!(uncompressed_len > MAX_BODY_BYTES, "an older router rejects the length: {uncompressed_len}");
    assert_eq!(ConfigUpdate::decode(&old), Some(update));
    let with_anonymous = |text: &str| text.replace("\"timeout_ms\":5", "\"timeout_ms\":5,\"anonymous\":true");
    let text = with_anonymous(&text(3, &[("a", 5)]));
    let anonymous = ConfigUpdate::full(&crate::config::read(&text).expect("a valid configuration"));
    assert!(anonymous.routes[0].anonymous && ConfigUpdate::decode(&anonymous.encode()) == Some(anonymous));
}

#[test]
fn an_update_contains_tenants_and_then_cannot_use_the_legacy_format() {
    let with_tenants = |revision: u64, tenants: Value| {
        let text =
            serde_json::json!({"revision": revision, "service_table": [], "route_table": [], "tenant_table": tenants});
        crate::config::read(&text.to_string()).expect("a valid configuration")
    };
    let old = with_tenants(3, serde_json::json!([{"name": "a", "api_keys": ["x"]}, {"name": "b", "api_keys": ["y"]}]));
    let new = with_tenants(4, serde_json::json!([{"name": "b", "api_keys": ["y", "z"]}, {"name": "c", "priority": 2}]));
    let update = ConfigUpdate::between(&old, &new);
    let names: Vec<&str> = update.tenants.iter().map(|tenant| tenant.name.as_str()).collect();
    assert_eq!((names, &update.removed_tenants), (vec!["b", "c"], &vec!["a".to_string()]));
    assert_eq!(ConfigUpdate::decode(&update.encode()), Some(update));
    assert!(!legacy_format::can_encode(&old) && legacy_format::can_encode(&with_tenants(5, Value::Null)));
}

/// The largest configurations that are accepted fit into a frame and can be decoded again.
#[test]
fn a_configuration_of_maximum_length_can_be_delivered() {
    let max_len = MAX_TEXT_BYTES - 300;
    let list = |item: &str, count: usize| vec![item; count].join(",");
    let config_text = |routes: String, tenants: String| {
        format!("{{\"revision\":3,\"service_table\":[{{\"name\":\"s\"}}],\"route_table\":[{routes}],\"tenant_table\":[{tenants}]}}")
    };
    let route = |number: usize| {
        format!("{{\"name\":\"{number}\",\"hostname\":\"h\",\"path_prefix\":\"/{number}/\",\"route_type\":\"idempotent\",\"timeout_ms\":1,\"service\":\"s\"}}")
    };
    let many_routes = config_text((0..70_000).map(route).collect::<Vec<_>>().join(","), String::new());
    let regions = format!("{{\"name\":\"t\",\"allowed_regions\":[{}]}}", list("\"\"", 990_000));
    for text in [many_routes, config_text(String::new(), regions)] {
        assert!(text.len() < max_len, "{}", text.len());
        let update = ConfigUpdate::full(&crate::config::read(&text).unwrap_or_else(|error| panic!("{error}")));
        let msg = Message::TenantConfigUpdate(Box::new(update.encode()));
        let frame = frame::encode(Kind::Notification, 0, &msg).expect("the update fits into a frame");
        assert!(frame.len() < MAX_BODY_BYTES);
        let Ok(Message::TenantConfigUpdate(encoded)) = frame::decode_body(&frame[HEADER_BYTES..]) else {
            panic!("a configuration update was expected")
        };
        assert_eq!(ConfigUpdate::decode(&encoded), Some(update));
    }
}
