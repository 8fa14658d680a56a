//! What a configuration says, as types. The packed form that routers take is made of them.

/// A part of a route's traffic.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Split {
    pub service: String,
    pub weight: u64,
}

/// Where requests of a host and a path prefix go.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Route {
    pub name: String,
    /// In lower case and without a port: hosts that a look-up cannot tell apart are equal here.
    pub hostname: String,
    pub path_prefix: String,
    pub route_type: String,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub priority: u32,
    pub service: Option<String>,
    pub traffic_split: Vec<Split>,
    pub retry_count: u32,
    pub persistent: bool,
    pub resumable: bool,
    pub gap_target_ms: u64,
    pub allowed_regions: Vec<String>,
    /// Served without a key, also where the configuration has tenants.
    pub anonymous: bool,
}

impl Default for Route {
    fn default() -> Route {
        Route {
            name: String::new(),
            hostname: String::new(),
            path_prefix: String::new(),
            route_type: String::new(),
            timeout_ms: 0,
            target_ms: 0,
            priority: 0,
            service: None,
            traffic_split: Vec::new(),
            retry_count: 1,
            persistent: false,
            resumable: false,
            gap_target_ms: 0,
            allowed_regions: Vec::new(),
            anonymous: false,
        }
    }
}

/// Who sends requests: known by its keys, and bound by a limit over all routers.
#[derive(Clone, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Tenant {
    pub name: String,
    /// Secrets: they appear in no error and no log.
    pub api_keys: Vec<String>,
    /// Takes precedence over the priority of a route.
    pub priority: Option<u32>,
    /// Requests a second; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once above the rate.
    pub burst_size: f64,
    pub allowed_regions: Vec<String>,
}

/// A model that the engines of a service run.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Model {
    pub name: String,
}

/// What the engines of a service are like.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Engine {
    pub slot_count: u32,
    pub kv_capacity: u64,
    pub kv_token_bytes: f64,
    pub link_mbps: f64,
    pub kv_hold_s: f64,
    pub role_switch_s: f64,
    pub model_list: Vec<Model>,
}

impl Default for Engine {
    fn default() -> Engine {
        Engine {
            slot_count: 1,
            kv_capacity: 0,
            kv_token_bytes: 0.0,
            link_mbps: 0.0,
            kv_hold_s: 0.0,
            role_switch_s: 0.0,
            model_list: Vec::new(),
        }
    }
}

impl std::fmt::Debug for Tenant {
    /// Without the keys, which are secrets.
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        let mut shown = out.debug_struct("Tenant");
        shown.field("name", &self.name).field("api_keys", &self.api_keys.len());
        shown.finish_non_exhaustive()
    }
}

/// A service, to which routes lead.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    pub max_connections: u32,
    pub warmup_s: f64,
    pub ramp_per_s: f64,
    pub engine: Option<Engine>,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            name: String::new(),
            health_path: "/health".into(),
            max_connections: 0,
            warmup_s: 0.0,
            ramp_per_s: 0.0,
            engine: None,
        }
    }
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Limits {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    pub header_timeout_ms: u64,
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { max_header_bytes: 16384, max_body_bytes: 4_194_304, header_timeout_ms: 5000, idle_timeout_ms: 15000 }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    pub revision: u64,
    pub route_table: Vec<Route>,
    pub service_table: Vec<Service>,
    pub limits: Limits,
    pub tenant_table: Vec<Tenant>,
    /// Has it a table of tenants, if an empty one? Then requests need a key: taking the last tenant away must not let
    /// everybody in.
    pub requires_keys: bool,
}

/// The services of a route with their weights, whose sum fits into 64 bits.
pub fn targets(route: &Route) -> Vec<(&str, u64)> {
    if route.traffic_split.is_empty() {
        return route.service.iter().filter(|name| !name.is_empty()).map(|name| (name.as_str(), 1)).collect();
    }
    let sum: u128 = route.traffic_split.iter().map(|part| u128::from(part.weight)).sum();
    // Only weights that no operator writes are scaled: their proportions are kept, none that counts becomes 0.
    let shift = if sum > u128::from(u64::MAX / 2) { 66 - sum.leading_zeros().min(66) } else { 0 };
    let scaled = |weight: u64| weight.checked_shr(shift).unwrap_or(0).max(u64::from(weight > 0));
    route.traffic_split.iter().map(|part| (part.service.as_str(), scaled(part.weight))).collect()
}
