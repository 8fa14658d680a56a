//! The types of a configuration. The form that routers get is made of them, so fields keep their order for good.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// The share of a route's requests that one service gets.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Split {
    /// The service's name.
    pub service: String,
    /// Its weight among the services of the route.
    pub weight: u64,
}

/// Where requests of a host and a path prefix go.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Route {
    /// The name, unique among routes.
    pub name: String,
    /// In lower case and without a port: hosts that a look-up cannot tell apart are equal here.
    pub hostname: String,
    /// Begins and ends with a slash; the longest prefix that matches decides.
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent` or `streaming`: whether a request may run more than once.
    pub route_type: String,
    /// The time budget of a request in milliseconds.
    pub timeout_ms: u64,
    /// The target for the first byte of a response in milliseconds; 0 for none.
    pub target_ms: u64,
    /// The priority of its requests.
    pub priority: u32,
    /// The service, where there is no traffic split.
    pub service: Option<String>,
    /// The services with their weights; takes precedence over `service`.
    pub traffic_split: Vec<Split>,
    /// How often a request may be tried again.
    pub retry_count: u32,
    /// As the published protocol defines it.
    pub persistent: bool,
    /// Whether a stream that broke may go on at another engine.
    pub resumable: bool,
    /// The target for the time between events of a stream in milliseconds; 0 for none.
    pub gap_target_ms: u64,
    /// The regions whose engines may serve it; empty for all.
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

/// A sender of requests, known by its keys and bound by a rate limit over all routers.
#[derive(Clone, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Tenant {
    /// The name, unique among tenants.
    pub name: String,
    /// Secrets: they appear in no error and no log.
    pub api_keys: Vec<String>,
    /// Takes precedence over the priority of a route.
    pub priority: Option<u32>,
    /// Requests a second; 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once above the rate.
    pub burst_size: f64,
    /// The regions whose engines may serve its requests; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A model that the engines of a service run.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Model {
    /// The name.
    pub name: String,
}

/// The properties of a service's engines.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that an engine works on at once.
    pub slot_count: u32,
    /// Tokens that its KV cache holds.
    pub kv_capacity: u64,
    /// Bytes of the KV cache for one token.
    pub kv_token_bytes: f64,
    /// The rate of the link between engines in megabits a second.
    pub link_mbps: f64,
    /// Seconds that an engine keeps a KV cache for another one to fetch.
    pub kv_hold_s: f64,
    /// Seconds that a change between prefill and decode takes.
    pub role_switch_s: f64,
    /// The models that the engines run.
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

impl fmt::Debug for Tenant {
    /// Without the keys, which are secrets.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let mut shown = out.debug_struct("Tenant");
        shown.field("name", &self.name).field("api_keys", &self.api_keys.len());
        shown.finish_non_exhaustive()
    }
}

/// A service, to which routes lead.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Service {
    /// The name, unique among services.
    pub name: String,
    /// The path of an engine's health check.
    pub health_path: String,
    /// Connections to one engine at most; 0 for no bound.
    pub max_connections: u32,
    /// Seconds that a new engine takes to warm up.
    pub warmup_s: f64,
    /// By how many requests a second the load of a new engine may rise each second.
    pub ramp_per_s: f64,
    /// The properties of its engines, if stated.
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
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Limits {
    /// The longest header of a request in bytes.
    pub max_header_bytes: u64,
    /// The longest body of a request in bytes.
    pub max_body_bytes: u64,
    /// How long a header may take to come, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
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
    /// Rises with each change; from 1.
    pub revision: u64,
    /// The routes.
    pub route_table: Vec<Route>,
    /// The services.
    pub service_table: Vec<Service>,
    /// What clients may send.
    pub limits: Limits,
    /// The tenants.
    pub tenant_table: Vec<Tenant>,
    /// Whether there is a table of tenants, if only an empty one. Then requests need a key: removing the last tenant must
    /// not admit everybody.
    pub requires_keys: bool,
}

/// Returns the services of a route with their weights, whose sum fits into 64 bits.
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
