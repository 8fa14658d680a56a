//! The types of a configuration. The encoding that routers receive depends on the order of their fields, which must
//! never change.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// The share of a route's requests that goes to one service.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Split {
    /// The service's name.
    pub service: String,
    /// The weight relative to the other services of the route.
    pub weight: u64,
}

/// Where requests for a hostname and a path prefix go.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Route {
    /// The name, unique among routes.
    pub name: String,
    /// The hostname, in lower case and without a port: hosts that a lookup treats as the same are equal here.
    pub hostname: String,
    /// The path prefix, which begins and ends with a slash. Of several matching prefixes the longest applies.
    pub path_prefix: String,
    /// `idempotent`, `non_idempotent` or `streaming`: determines whether a request may run more than once.
    pub route_type: String,
    /// The total timeout of a request in milliseconds.
    pub timeout_ms: u64,
    /// The target for the time to first byte in milliseconds; 0 for none.
    pub target_ms: u64,
    /// The priority of the requests of this route.
    pub priority: u32,
    /// The service, if there is no traffic split.
    pub service: Option<String>,
    /// The services with their weights; takes precedence over `service`.
    pub traffic_split: Vec<Split>,
    /// Maximum number of retries of a request.
    pub retry_count: u32,
    /// The published protocol defines the meaning.
    pub persistent: bool,
    /// Whether an interrupted stream may resume on another engine.
    pub resumable: bool,
    /// The target for the time between events of a stream in milliseconds; 0 for none.
    pub gap_target_ms: u64,
    /// The regions whose engines may serve this route; empty for all.
    pub allowed_regions: Vec<String>,
    /// Whether requests need no API key, even if the configuration has tenants.
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

/// A client, identified by its API keys and subject to a rate limit across all routers.
#[derive(Clone, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Tenant {
    /// The name, unique among tenants.
    pub name: String,
    /// The API keys: secrets, which must not appear in errors or logs.
    pub api_keys: Vec<String>,
    /// The priority of its requests; takes precedence over the priority of the route.
    pub priority: Option<u32>,
    /// Rate limit in requests per second; 0 for no limit.
    pub rate_per_s: f64,
    /// Maximum burst above the rate, in requests.
    pub burst_size: f64,
    /// The regions whose engines may serve its requests; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A model that the engines of a service serve.
#[derive(Clone, Debug, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct Model {
    /// The name by which requests select the model.
    pub name: String,
}

/// The properties of a service's engines.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests that an engine processes concurrently.
    pub slot_count: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_capacity: u64,
    /// Size of the KV cache of one token in bytes.
    pub kv_token_bytes: f64,
    /// Bandwidth of the link between engines in megabits per second.
    pub link_mbps: f64,
    /// How long an engine holds a KV cache for another engine to fetch, in seconds.
    pub kv_hold_s: f64,
    /// How long a switch between the prefill and decode roles takes, in seconds.
    pub role_switch_s: f64,
    /// The models that the engines serve.
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
    /// Prints the number of API keys in place of the keys, which are secrets.
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let mut output = out.debug_struct("Tenant");
        output.field("name", &self.name).field("api_keys", &self.api_keys.len());
        output.finish_non_exhaustive()
    }
}

/// A service: a group of engines to which routes send requests.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Service {
    /// The name, unique among services.
    pub name: String,
    /// The path of the health check of its engines.
    pub health_path: String,
    /// Maximum number of connections to one engine; 0 for no limit.
    pub max_connections: u32,
    /// How long a new engine takes to warm up, in seconds.
    pub warmup_s: f64,
    /// Maximum increase of the load of a new engine per second, in requests per second.
    pub ramp_per_s: f64,
    /// The properties of its engines, if specified.
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

/// Size limits and timeouts for client connections.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request header in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Timeout for receiving a request header in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection in milliseconds.
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
    /// The revision, which increases with each change; at least 1.
    pub revision: u64,
    /// The routes.
    pub route_table: Vec<Route>,
    /// The services.
    pub service_table: Vec<Service>,
    /// The limits for client connections.
    pub limits: Limits,
    /// The tenants.
    pub tenant_table: Vec<Tenant>,
    /// Whether requests need an API key: true if there is a tenant table, even an empty one, so that removing the last
    /// tenant does not admit everybody.
    pub requires_keys: bool,
}

/// Returns the services of a route with their weights, scaled if necessary so that their sum fits into 64 bits.
pub fn targets(route: &Route) -> Vec<(&str, u64)> {
    if route.traffic_split.is_empty() {
        return route.service.iter().filter(|name| !name.is_empty()).map(|name| (name.as_str(), 1)).collect();
    }
    let sum: u128 = route.traffic_split.iter().map(|part| u128::from(part.weight)).sum();
    // Only unrealistically large weights are scaled. Proportions are kept, and no non-zero weight becomes 0.
    let shift = if sum > u128::from(u64::MAX / 2) { 66 - sum.leading_zeros().min(66) } else { 0 };
    let scaled = |weight: u64| weight.checked_shr(shift).unwrap_or(0).max(u64::from(weight > 0));
    route.traffic_split.iter().map(|part| (part.service.as_str(), scaled(part.weight))).collect()
}
