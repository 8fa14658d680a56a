//! The operator's configuration: read by `schematic`, checked here. Each flaw names its item.

#[derive(
    Clone, Debug, PartialEq, schematic::Config, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[config(allow_unknown_fields, rename_all = "snake_case")]
pub struct Split {
    pub service: String,
    #[setting(default = 1)]
    pub weight: u64,
}

#[derive(
    Clone, Debug, PartialEq, schematic::Config, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[config(allow_unknown_fields, rename_all = "snake_case")]
pub struct Route {
    pub name: String,
    pub hostname: String,
    pub path_prefix: String,
    pub route_type: String,
    #[setting(default = 0)]
    pub timeout_ms: u64,
    #[setting(default = 0)]
    pub target_ms: u64,
    #[setting(default = 0)]
    pub priority: u32,
    pub service: Option<String>,
    #[setting(nested)]
    pub traffic_split: Vec<Split>,
    #[setting(default = 1)]
    pub retry_count: u32,
    pub persistent: bool,
    pub resumable: bool,
    #[setting(default = 0)]
    pub gap_target_ms: u64,
    pub allowed_regions: Vec<String>,
    /// Served without a key, also where the configuration has tenants.
    pub anonymous: bool,
}

/// Who sends requests: known by its keys, and bound by a limit over all routers.
#[derive(
    Clone, Debug, PartialEq, schematic::Config, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[config(allow_unknown_fields, rename_all = "snake_case")]
pub struct Tenant {
    pub name: String,
    pub api_keys: Vec<String>,
    /// Takes precedence over the priority of a route.
    pub priority: Option<u32>,
    /// Requests a second; 0 for no limit.
    #[setting(default = 0.0)]
    pub rate_per_s: f64,
    /// Requests that may come at once above the rate.
    #[setting(default = 0.0)]
    pub burst_size: f64,
    pub allowed_regions: Vec<String>,
}

#[derive(
    Clone, Debug, PartialEq, schematic::Config, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[config(allow_unknown_fields, rename_all = "snake_case")]
pub struct Model {
    pub name: String,
}

#[derive(
    Clone, Debug, PartialEq, schematic::Config, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[config(allow_unknown_fields, rename_all = "snake_case")]
pub struct Engine {
    #[setting(default = 1)]
    pub slot_count: u32,
    pub kv_capacity: u64,
    pub kv_token_bytes: f64,
    pub link_mbps: f64,
    #[setting(default = 0.0)]
    pub kv_hold_s: f64,
    #[setting(default = 0.0)]
    pub role_switch_s: f64,
    #[setting(nested)]
    pub model_list: Vec<Model>,
}

#[derive(
    Clone, Debug, PartialEq, schematic::Config, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[config(allow_unknown_fields, rename_all = "snake_case")]
pub struct Service {
    pub name: String,
    #[setting(default = "/health")]
    pub health_path: String,
    #[setting(default = 0)]
    pub max_connections: u32,
    #[setting(default = 0.0)]
    pub warmup_s: f64,
    #[setting(default = 0.0)]
    pub ramp_per_s: f64,
    #[setting(nested)]
    pub engine: Option<Engine>,
}

#[derive(
    Clone, Debug, PartialEq, schematic::Config, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
#[config(allow_unknown_fields, rename_all = "snake_case")]
pub struct Limits {
    #[setting(default = 16384)]
    pub max_header_bytes: u64,
    #[setting(default = 4194304)]
    pub max_body_bytes: u64,
    #[setting(default = 5000)]
    pub header_timeout_ms: u64,
    #[setting(default = 15000)]
    pub idle_timeout_ms: u64,
}

#[derive(Clone, Debug, schematic::Config, serde::Serialize)]
#[config(allow_unknown_fields, rename_all = "snake_case")]
pub struct Config {
    #[setting(default = 0)]
    pub revision: u64,
    #[setting(nested)]
    pub route_table: Vec<Route>,
    #[setting(nested)]
    pub service_table: Vec<Service>,
    #[setting(nested)]
    pub limits: Limits,
    /// Empty where requests need no key.
    #[setting(nested)]
    pub tenant_table: Vec<Tenant>,
}

/// Reads a configuration and checks it against itself.
pub fn read(text: &str) -> Result<Config, String> {
    let mut loader = schematic::ConfigLoader::<Config>::new();
    let source = loader.code(text, schematic::Format::Json).map_err(|error| format!("configuration: {error}"))?;
    let found = source.load().map_err(|error| format!("configuration: {}", cause(&error)))?;
    check(&found.config)?;
    Ok(found.config)
}

/// The innermost words of an error, which name the field.
fn cause(error: &dyn std::error::Error) -> String {
    let mut words = error.to_string();
    let mut next = error.source();
    while let Some(inner) = next {
        words = format!("{words}: {inner}");
        next = inner.source();
    }
    words
}

fn check(config: &Config) -> Result<(), String> {
    if config.revision == 0 {
        return Err("revision: missing or 0".into());
    }
    let mut names = std::collections::HashSet::new();
    for service in &config.service_table {
        if service.name.is_empty() || !names.insert(service.name.as_str()) {
            return Err(format!("service `{}`: name missing or used twice", service.name));
        }
    }
    let mut places = std::collections::HashSet::new();
    let mut labels = std::collections::HashSet::new();
    for route in &config.route_table {
        let fail = |words: &str| Err(format!("route `{}`: {words}", route.name));
        if route.name.is_empty() || !labels.insert(route.name.as_str()) {
            return fail("name missing or used twice");
        }
        if route.hostname.is_empty() || !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
            return fail("hostname missing, or path_prefix not between slashes");
        }
        if !["idempotent", "non_idempotent", "streaming"].contains(&route.route_type.as_str()) {
            return fail("route_type unknown");
        }
        if route.timeout_ms == 0 {
            return fail("timeout_ms is 0");
        }
        if !places.insert((route.hostname.to_ascii_lowercase(), route.path_prefix.as_str())) {
            return fail("hostname and path_prefix are another route's");
        }
        let targets = targets(route);
        if targets.is_empty() {
            return fail("no service");
        }
        for (service, _) in &targets {
            if !names.contains(service) {
                return fail(&format!("unknown service `{service}`"));
            }
        }
        if targets.iter().map(|(_, weight)| weight).sum::<u64>() == 0 {
            return fail("weights sum to 0");
        }
    }
    Ok(())
}

/// Services with their weights.
pub fn targets(route: &Route) -> Vec<(&str, u64)> {
    if !route.traffic_split.is_empty() {
        return route.traffic_split.iter().map(|part| (part.service.as_str(), part.weight)).collect();
    }
    route.service.iter().filter(|name| !name.is_empty()).map(|name| (name.as_str(), 1)).collect()
}

/// Applies a change of named items to a whole configuration.
pub fn patch(base: &serde_json::Value, change: &serde_json::Value) -> Result<serde_json::Value, String> {
    let mut next = base.clone();
    let Some(top) = next.as_object_mut() else { return Err("no configuration to change".into()) };
    let Some(change) = change.as_object() else { return Err("change: not an object".into()) };
    let revision = change.get("revision").cloned().unwrap_or(serde_json::Value::Null);
    top.insert("revision".into(), revision);
    let empty = serde_json::Map::new();
    let part = |name: &str| match change.get(name) {
        None => Ok(&empty),
        Some(value) => value.as_object().ok_or(format!("{name}: not an object")),
    };
    for (table, names) in part("withdraw")? {
        let Some(names) = names.as_array() else { return Err(format!("withdraw.{table}: not a list")) };
        let list = table_of(top, table)?;
        list.retain(|item| !names.contains(&item["name"]));
    }
    for (table, items) in part("upsert")? {
        if let Some(fields) = items.as_object() {
            let held = top.entry(table.clone()).or_insert_with(|| serde_json::json!({}));
            let Some(held) = held.as_object_mut() else { return Err(format!("upsert.{table}: not a table")) };
            held.extend(fields.clone());
            continue;
        }
        let Some(items) = items.as_array() else { return Err(format!("upsert.{table}: not a list")) };
        let list = table_of(top, table)?;
        for item in items {
            if !item["name"].is_string() {
                return Err(format!("upsert.{table}: an item without a name"));
            }
            match list.iter_mut().find(|held| held["name"] == item["name"]) {
                Some(held) => *held = item.clone(),
                None => list.push(item.clone()),
            }
        }
    }
    Ok(next)
}

fn table_of<'a>(
    top: &'a mut serde_json::Map<String, serde_json::Value>,
    table: &str,
) -> Result<&'a mut Vec<serde_json::Value>, String> {
    let held = top.entry(table).or_insert_with(|| serde_json::json!([]));
    held.as_array_mut().ok_or(format!("{table}: not a list of named items"))
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;
