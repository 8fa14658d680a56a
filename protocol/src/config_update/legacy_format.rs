//! The frozen format of updates for routers of protocol versions 2 and 3. It has neither tenants nor routes that need
//! no API key. A configuration with tenants must never be sent in this format ([`can_encode`]): a router that reads it
//! would serve requests without keys.

use rkyv::rancor;
use rkyv::{Archive, Deserialize, Serialize};

use crate::compression;
use crate::config;

/// [`config::Route`] without `anonymous`.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
struct Route {
    name: String,
    hostname: String,
    path_prefix: String,
    route_type: String,
    timeout_ms: u64,
    target_ms: u64,
    priority: u32,
    service: Option<String>,
    traffic_split: Vec<Split>,
    retry_count: u32,
    persistent: bool,
    resumable: bool,
    gap_target_ms: u64,
    allowed_regions: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
struct Split {
    service: String,
    weight: u64,
}

#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
struct Service {
    name: String,
    health_path: String,
    max_connections: u32,
    warmup_s: f64,
    ramp_per_s: f64,
    engine: Option<Engine>,
}

#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
struct Engine {
    slot_count: u32,
    kv_capacity: u64,
    kv_token_bytes: f64,
    link_mbps: f64,
    kv_hold_s: f64,
    role_switch_s: f64,
    model_list: Vec<Model>,
}

#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
struct Model {
    name: String,
}

#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
struct Limits {
    max_header_bytes: u64,
    max_body_bytes: u64,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

/// [`super::ConfigUpdate`] without tenants.
#[derive(Clone, Debug, PartialEq, Archive, Serialize, Deserialize)]
struct ConfigUpdate {
    from: u64,
    to: u64,
    routes: Vec<Route>,
    removed_routes: Vec<String>,
    services: Vec<Service>,
    removed_services: Vec<String>,
    limits: Limits,
}

/// Returns whether a configuration may be sent in this format.
pub fn can_encode(config: &config::Config) -> bool {
    !config.requires_keys
}

/// Decodes an update. Returns `None` if the bytes are truncated or not an update.
pub fn decode(compressed: &[u8]) -> Option<super::ConfigUpdate> {
    rkyv::from_bytes::<ConfigUpdate, rancor::Error>(&compression::decompress(compressed)?)
        .ok()
        .map(super::ConfigUpdate::from)
}

/// Encodes an update between configurations for which [`can_encode`] returns true.
///
/// # Panics
///
/// Never for an update that fits into memory.
pub fn encode(update: &super::ConfigUpdate) -> Vec<u8> {
    let body = rkyv::to_bytes::<rancor::Error>(&ConfigUpdate::from(update)).expect("an update can always be encoded");
    compression::compress(&body)
}

impl From<&super::ConfigUpdate> for ConfigUpdate {
    fn from(update: &super::ConfigUpdate) -> ConfigUpdate {
        ConfigUpdate {
            from: update.from,
            to: update.to,
            routes: update.routes.iter().map(Route::from).collect(),
            removed_routes: update.removed_routes.clone(),
            services: update.services.iter().map(Service::from).collect(),
            removed_services: update.removed_services.clone(),
            limits: Limits::from(&update.limits),
        }
    }
}

impl From<ConfigUpdate> for super::ConfigUpdate {
    fn from(update: ConfigUpdate) -> super::ConfigUpdate {
        super::ConfigUpdate {
            from: update.from,
            to: update.to,
            routes: update.routes.into_iter().map(config::Route::from).collect(),
            removed_routes: update.removed_routes,
            services: update.services.into_iter().map(config::Service::from).collect(),
            removed_services: update.removed_services,
            limits: config::Limits::from(update.limits),
            tenants: Vec::new(),
            removed_tenants: Vec::new(),
            requires_keys: false,
        }
    }
}

impl From<&config::Route> for Route {
    fn from(route: &config::Route) -> Route {
        let split = |part: &config::Split| Split { service: part.service.clone(), weight: part.weight };
        Route {
            name: route.name.clone(),
            hostname: route.hostname.clone(),
            path_prefix: route.path_prefix.clone(),
            route_type: route.route_type.clone(),
            timeout_ms: route.timeout_ms,
            target_ms: route.target_ms,
            priority: route.priority,
            service: route.service.clone(),
            traffic_split: route.traffic_split.iter().map(split).collect(),
            retry_count: route.retry_count,
            persistent: route.persistent,
            resumable: route.resumable,
            gap_target_ms: route.gap_target_ms,
            allowed_regions: route.allowed_regions.clone(),
        }
    }
}

impl From<Route> for config::Route {
    fn from(route: Route) -> config::Route {
        let split = |part: Split| config::Split { service: part.service, weight: part.weight };
        config::Route {
            name: route.name,
            hostname: route.hostname,
            path_prefix: route.path_prefix,
            route_type: route.route_type,
            timeout_ms: route.timeout_ms,
            target_ms: route.target_ms,
            priority: route.priority,
            service: route.service,
            traffic_split: route.traffic_split.into_iter().map(split).collect(),
            retry_count: route.retry_count,
            persistent: route.persistent,
            resumable: route.resumable,
            gap_target_ms: route.gap_target_ms,
            allowed_regions: route.allowed_regions,
            anonymous: false,
        }
    }
}

impl From<&config::Service> for Service {
    fn from(service: &config::Service) -> Service {
        let engine = |engine: &config::Engine| Engine {
            slot_count: engine.slot_count,
            kv_capacity: engine.kv_capacity,
            kv_token_bytes: engine.kv_token_bytes,
            link_mbps: engine.link_mbps,
            kv_hold_s: engine.kv_hold_s,
            role_switch_s: engine.role_switch_s,
            model_list: engine.model_list.iter().map(|model| Model { name: model.name.clone() }).collect(),
        };
        Service {
            name: service.name.clone(),
            health_path: service.health_path.clone(),
            max_connections: service.max_connections,
            warmup_s: service.warmup_s,
            ramp_per_s: service.ramp_per_s,
            engine: service.engine.as_ref().map(engine),
        }
    }
}

impl From<Service> for config::Service {
    fn from(service: Service) -> config::Service {
        let engine = |engine: Engine| config::Engine {
            slot_count: engine.slot_count,
            kv_capacity: engine.kv_capacity,
            kv_token_bytes: engine.kv_token_bytes,
            link_mbps: engine.link_mbps,
            kv_hold_s: engine.kv_hold_s,
            role_switch_s: engine.role_switch_s,
            model_list: engine.model_list.into_iter().map(|model| config::Model { name: model.name }).collect(),
        };
        config::Service {
            name: service.name,
            health_path: service.health_path,
            max_connections: service.max_connections,
            warmup_s: service.warmup_s,
            ramp_per_s: service.ramp_per_s,
            engine: service.engine.map(engine),
        }
    }
}

impl From<&config::Limits> for Limits {
    fn from(limits: &config::Limits) -> Limits {
        Limits {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
        }
    }
}

impl From<Limits> for config::Limits {
    fn from(limits: Limits) -> config::Limits {
        config::Limits {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
        }
    }
}
