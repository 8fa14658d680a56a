//! Ways to corrupt a valid configuration.
use super::samples::KEY;
use kernel::Rng;
use serde_json::{json, Value};

/// Ways to corrupt a valid configuration with at least one route; each returns the location that the error must name.
pub const CORRUPTIONS: [fn(&mut Rng, &mut Value) -> String; 17] = [
    |_, value| {
        value["route_table"] = Value::Null;
        "body: route_table".into()
    },
    |_, value| {
        value.as_object_mut().expect("an object").remove("service_table");
        "body: service_table".into()
    },
    |rng, value| corrupt_route(rng, value, "service", json!("never")),
    |rng, value| {
        corrupt_route(
            rng,
            value,
            "traffic_split",
            json!([{"service": "s0", "weight": 3}, {"service": "never", "weight": 0}]),
        )
    },
    |rng, value| {
        corrupt_route(
            rng,
            value,
            "traffic_split",
            json!([{"service": "s0", "weight": 0}, {"service": "s0", "weight": 0.0}]),
        )
    },
    |rng, value| corrupt_route(rng, value, "traffic_split", json!([{"service": "s0", "weight": -1}])),
    |rng, value| corrupt_route(rng, value, "timeout_ms", json!(0)),
    |rng, value| corrupt_route(rng, value, "timeout_ms", Value::Null),
    |rng, value| corrupt_route(rng, value, "timeout_ms", json!(2.5)),
    |rng, value| corrupt_route(rng, value, "route_type", json!("sometimes")),
    |rng, value| corrupt_route(rng, value, "path_prefix", json!("/no-end")),
    |rng, value| corrupt_route(rng, value, "hostname", json!(["a.example"])),
    |_, value| {
        let mut copy = value["route_table"][0].clone();
        copy["name"] = "copy".into();
        let host = copy["hostname"].as_str().expect("a host name").to_ascii_uppercase();
        copy["hostname"] = host.into();
        value["route_table"].as_array_mut().expect("a table").push(copy);
        "route `copy`".into()
    },
    |_, value| {
        let mut copy = value["route_table"][0].clone();
        copy["path_prefix"] = "/elsewhere/".into();
        value["route_table"].as_array_mut().expect("a table").push(copy);
        "route `r0`: duplicate name, names must be unique within a table".into()
    },
    |_, value| {
        let keys = json!([format!("{KEY}shared"), format!("{KEY}other")]);
        value["tenant_table"] = json!([{"name": "one", "api_keys": keys}, {"name": "two", "api_keys": [keys[0]]}]);
        "tenant `two`".into()
    },
    |_, value| {
        value["revision"] = json!(7.0);
        "revision".into()
    },
    |_, value| {
        value["service_table"][0]["name"] = "".into();
        "service_table[0]".into()
    },
];

fn corrupt_route(rng: &mut Rng, value: &mut Value, field: &str, corrupted: Value) -> String {
    let routes = value["route_table"].as_array_mut().expect("a table");
    let index = rng.below(routes.len() as u64) as usize;
    routes[index][field] = corrupted;
    format!("route `r{index}`")
}
