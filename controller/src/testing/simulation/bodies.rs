//! What operators send: whole configurations and changes of named items, valid and invalid ones of every kind.
use kernel::Rng;
use protocol::operator_request::ConfigChange;
use serde_json::{json, Value};

/// Of so many changes one is invalid.
const INVALID_ONE_OF: u64 = 5;
/// Of so many changes one names items only.
const ITEMS_ONE_OF: u64 = 3;

/// A change, and whether it is valid on top of the version that it names.
pub struct Body {
    pub change: ConfigChange,
    pub valid: bool,
}

fn route(name: &str, prefix: &str, timeout: u64) -> Value {
    json!({"name": name, "hostname": "h", "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": timeout,
        "service": "s"})
}

/// A valid whole configuration that no other operator sends, under a number that others may choose too.
pub fn whole(random: &mut Rng, operator: u64, action_number: u64, base: u64) -> Body {
    let revision = base + 1 + random.below(2);
    let routes = json!([route("r", "/", 1 + operator + 10 * action_number)]);
    let value = json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes});
    Body { change: ConfigChange { base, text: value.to_string(), partial: false }, valid: true }
}

/// A change of any kind. Every configuration holds the route `r` to the service `s`.
pub fn draw(random: &mut Rng, operator: u64, action_number: u64, base: u64) -> Body {
    let revision = base + 1 + random.below(2);
    let timeout = 1 + operator + 10 * action_number;
    let partial = base > 0 && random.below(ITEMS_ONE_OF) == 0;
    let routes = json!([route("r", "/", timeout), route(&format!("r{operator}"), &format!("/{operator}/"), timeout)]);
    let mut value = match partial {
        true => json!({"revision": revision, "upsert": {"route_table": routes}, "withdraw": {"route_table": ["gone"]}}),
        false => json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes}),
    };
    if random.below(INVALID_ONE_OF) > 0 {
        let change = ConfigChange { base, text: value.to_string(), partial };
        return Body { change, valid: true };
    }
    let routes = if partial { &mut value["upsert"]["route_table"] } else { &mut value["route_table"] };
    let mut behind = "";
    match random.below(8) {
        0 => routes[1]["service"] = json!("unknown"),
        1 => routes[1]["traffic_split"] = json!([{"service": "s"}, {"service": "unknown", "weight": 0}]),
        2 => routes[1]["timeout_ms"] = json!(0),
        3 => routes[1]["path_prefix"] = json!("/"),
        4 => routes[1]["traffic_split"] = json!([{"service": "s", "weight": 0}]),
        5 => behind = " x",
        6 => value["revision"] = json!(base),
        _ if partial => value["withdraw"]["service_table"] = json!(["s"]),
        _ => value["route_table"] = Value::Null,
    }
    Body { change: ConfigChange { base, text: format!("{value}{behind}"), partial }, valid: false }
}

/// The number under which a valid change is sent.
pub fn revision(change: &ConfigChange) -> u64 {
    let value: Value = serde_json::from_str(&change.text).unwrap_or_default();
    value["revision"].as_u64().unwrap_or(0)
}
