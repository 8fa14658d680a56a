//! Random configuration changes that operators send: full configurations and partial changes, valid and invalid ones of
//! every kind.
use kernel::Rng;
use protocol::operator_request::ConfigChange;
use serde_json::{json, Value};

/// One in this many changes is invalid.
const INVALID_ONE_OF: u64 = 5;
/// One in this many changes is partial: it names only the items that it changes.
const PARTIAL_ONE_OF: u64 = 3;

/// A generated change, and whether it is valid on top of the revision that it names.
pub struct GeneratedChange {
    pub change: ConfigChange,
    pub valid: bool,
}

fn route(name: &str, prefix: &str, timeout: u64) -> Value {
    json!({"name": name, "hostname": "h", "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": timeout,
        "service": "s"})
}

/// Returns a valid full configuration that no other operator sends, under a revision that others may choose too.
pub fn full_config(random: &mut Rng, operator: u64, action_number: u64, base: u64) -> GeneratedChange {
    let revision = base + 1 + random.below(2);
    let routes = json!([route("r", "/", 1 + operator + 10 * action_number)]);
    let value = json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes});
    GeneratedChange { change: ConfigChange { base, text: value.to_string(), partial: false }, valid: true }
}

/// Returns a random change of any kind. Every configuration contains the route `r` to the service `s`.
pub fn random_change(random: &mut Rng, operator: u64, action_number: u64, base: u64) -> GeneratedChange {
    let revision = base + 1 + random.below(2);
    let timeout = 1 + operator + 10 * action_number;
    let partial = base > 0 && random.below(PARTIAL_ONE_OF) == 0;
    let routes = json!([route("r", "/", timeout), route(&format!("r{operator}"), &format!("/{operator}/"), timeout)]);
    let mut value = match partial {
        true => json!({"revision": revision, "upsert": {"route_table": routes}, "withdraw": {"route_table": ["gone"]}}),
        false => json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes}),
    };
    if random.below(INVALID_ONE_OF) > 0 {
        let change = ConfigChange { base, text: value.to_string(), partial };
        return GeneratedChange { change, valid: true };
    }
    let routes = if partial { &mut value["upsert"]["route_table"] } else { &mut value["route_table"] };
    let mut trailing = "";
    match random.below(8) {
        0 => routes[1]["service"] = json!("unknown"),
        1 => routes[1]["traffic_split"] = json!([{"service": "s"}, {"service": "unknown", "weight": 0}]),
        2 => routes[1]["timeout_ms"] = json!(0),
        3 => routes[1]["path_prefix"] = json!("/"),
        4 => routes[1]["traffic_split"] = json!([{"service": "s", "weight": 0}]),
        5 => trailing = " x",
        6 => value["revision"] = json!(base),
        _ if partial => value["withdraw"]["service_table"] = json!(["s"]),
        _ => value["route_table"] = Value::Null,
    }
    GeneratedChange { change: ConfigChange { base, text: format!("{value}{trailing}"), partial }, valid: false }
}

/// Returns the revision of a change, 0 if its text is not valid JSON or has none.
pub fn revision(change: &ConfigChange) -> u64 {
    let value: Value = serde_json::from_str(&change.text).unwrap_or_default();
    value["revision"].as_u64().unwrap_or(0)
}
