//! The routing table: the configuration in force, prepared for look-ups. It refers to services by dense indices.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use load_balancing::EngineTable;
use protocol::config;
use protocol::config_update::ConfigUpdate;

use crate::config::tenants::Tenants;
use crate::proxy::duration_estimate::DurationEstimate;
use crate::proxy::stream_duration::StreamDuration;

/// Whether and how a request of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// May run more than once.
    Idempotent,
    /// Must not run more than once.
    NonIdempotent,
    /// The response is an event stream, which may be resumable.
    Streaming,
}

/// A route. Invariant: `targets` is not empty, and the sum of its weights is above 0.
pub struct Route {
    /// The name, unique in the configuration.
    pub name: String,
    /// The prefix of the paths that the route serves.
    pub prefix: String,
    /// Whether and how a request may be repeated.
    pub route_type: RouteType,
    /// Whether a broken stream may be resumed on another engine.
    pub resumable: bool,
    /// The timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// The target for the time to the first byte of a response, in milliseconds; 0: none.
    pub target_ms: u64,
    /// The priority of the requests, unless their tenant has one.
    pub priority: u32,
    /// The maximum number of times that a request is sent, at least 1.
    pub max_attempts: u32,
    /// The services, by dense index, and their weights.
    pub targets: Vec<(u32, u64)>,
    /// The regions to which requests may be sent; empty: all.
    pub allowed_regions: Vec<String>,
    /// Whether requests are served without an API key.
    pub anonymous: bool,
    /// The durations of requests at this router, kept across changes of the route.
    pub durations: Arc<DurationEstimate>,
    /// The durations of streams at this router by their number of tokens, kept across changes of the route.
    pub stream_durations: Arc<StreamDuration>,
}

impl Route {
    /// Returns whether a request may run more than once.
    pub fn repeatable(&self) -> bool {
        self.route_type == RouteType::Idempotent || (self.route_type == RouteType::Streaming && self.resumable)
    }
}

/// The settings of a service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// The maximum number of connections to one engine, over all routers; 0: not configured.
    pub connections: u32,
    /// The ramp-up of a new engine: how much its load may grow each second, in requests per second.
    pub ramp_per_s: f64,
    /// How long engines hold the KV cache of a prompt for a later phase, in milliseconds.
    pub hold_ms: u64,
}

/// The routing table. Invariants: the routes of a host are sorted by descending length of their prefix;
/// `hosts_by_route` has the host of each route.
#[derive(Default)]
pub struct RoutingTable {
    /// The revision of the configuration.
    pub revision: u64,
    /// Whether a request has been read since the table came into force.
    pub has_served: AtomicBool,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    hosts_by_route: HashMap<Arc<str>, Arc<str>>,
    /// The services, by dense index.
    pub services: HashMap<u32, Service>,
    /// The tenants and their API keys.
    pub tenants: Arc<Tenants>,
    /// The maximum size of a request header, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The timeout for receiving a request header, in milliseconds.
    pub header_ms: u64,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

/// Builds a route from its configuration.
fn build_route(item: &config::Route, engine_table: &mut EngineTable) -> Route {
    let route_type = match item.route_type.as_str() {
        "idempotent" => RouteType::Idempotent,
        "streaming" => RouteType::Streaming,
        _ => RouteType::NonIdempotent,
    };
    let targets = config::targets(item).into_iter().map(|(name, weight)| (engine_table.service_index(name), weight));
    Route {
        name: item.name.clone(),
        prefix: item.path_prefix.clone(),
        route_type,
        resumable: item.resumable,
        timeout_ms: item.timeout_ms,
        target_ms: item.target_ms,
        priority: item.priority,
        max_attempts: item.retry_count.max(1),
        targets: targets.collect(),
        allowed_regions: item.allowed_regions.clone(),
        anonymous: item.anonymous,
        durations: Default::default(),
        stream_durations: Default::default(),
    }
}

/// Builds a service from its configuration.
fn build_service(item: &config::Service) -> Service {
    let engine = item.engine.as_ref();
    Service {
        connections: item.max_connections,
        ramp_per_s: item.ramp_per_s,
        hold_ms: engine.map_or(0, |engine| (engine.kv_hold_s * 1000.0) as u64),
    }
}

impl RoutingTable {
    /// Returns the table after an update; `None` if the update is not newer or is based on another revision.
    pub fn apply(&self, update: &ConfigUpdate, engine_table: &mut EngineTable) -> Option<RoutingTable> {
        if update.to <= self.revision || (update.from != 0 && update.from != self.revision) {
            return None;
        }
        let mut next = RoutingTable {
            revision: update.to,
            header_bytes: update.limits.max_header_bytes as usize,
            body_bytes: update.limits.max_body_bytes as usize,
            header_ms: update.limits.header_timeout_ms,
            idle_ms: update.limits.idle_timeout_ms,
            tenants: Tenants::apply(&self.tenants, update),
            ..RoutingTable::default()
        };
        if update.from != 0 {
            next.hosts.clone_from(&self.hosts);
            next.hosts_by_route.clone_from(&self.hosts_by_route);
            next.services.clone_from(&self.services);
        }
        for name in update.removed_routes.iter().chain(update.routes.iter().map(|route| &route.name)) {
            next.remove(name);
        }
        for item in &update.routes {
            let mut route = build_route(item, engine_table);
            if let Some(held) = self.route(&item.name) {
                route.durations = held.durations.clone();
                route.stream_durations = held.stream_durations.clone();
            }
            next.insert(&item.hostname, route);
        }
        for name in &update.removed_services {
            next.services.remove(&engine_table.service_index(name));
        }
        for item in &update.services {
            next.services.insert(engine_table.service_index(&item.name), build_service(item));
        }
        Some(next)
    }

    /// Inserts a route of a host. A route of the same name must have been removed.
    fn insert(&mut self, hostname: &str, route: Route) {
        let host: Arc<str> = hostname.to_ascii_lowercase().into();
        self.hosts_by_route.insert(route.name.as_str().into(), host.clone());
        let list = self.hosts.entry(host).or_default();
        list.push(Arc::new(route));
        list.sort_by_key(|route| Reverse(route.prefix.len()));
    }

    /// Removes a route by its name.
    fn remove(&mut self, name: &str) {
        let Some(host) = self.hosts_by_route.remove(name) else { return };
        let Some(list) = self.hosts.get_mut(&host) else { return };
        list.retain(|route| route.name != name);
        if list.is_empty() {
            self.hosts.remove(&host);
        }
    }

    /// Returns the route with the longest matching prefix for a host and path. A port in the host is ignored unless a
    /// route names it.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let list = self.hosts.get(host.as_str()).or_else(|| self.hosts.get(host.rsplit_once(':')?.0))?;
        list.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a route by its name.
    pub fn route(&self, name: &str) -> Option<&Arc<Route>> {
        let list = self.hosts.get(self.hosts_by_route.get(name)?)?;
        list.iter().find(|route| route.name == name)
    }
}

/// Picks a service by weight, given a random number; a service of weight 0 is never picked.
///
/// # Panics
/// If `targets` is empty.
pub fn pick_weighted(targets: &[(u32, u64)], random: u64) -> u32 {
    let sum: u64 = targets.iter().map(|(_, weight)| weight).sum();
    let mut remaining = random % sum.max(1);
    for (service, weight) in targets {
        if remaining < *weight {
            return *service;
        }
        remaining -= weight;
    }
    targets[0].0
}

#[cfg(test)]
#[path = "routing_table_tests.rs"]
mod tests;
