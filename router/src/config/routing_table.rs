//! The configuration in force, prepared for look-ups: services are referred to by dense indices from here on.

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
    /// May be sent more than once.
    Idempotent,
    /// Must not run more than once.
    NonIdempotent,
    /// Answered by an event stream, which may be resumable.
    Streaming,
}

/// A route. Invariant: `targets` is not empty and its weights sum to more than 0.
pub struct Route {
    /// Its name, unique in the configuration.
    pub name: String,
    /// The prefix of the paths that it serves.
    pub prefix: String,
    /// Whether a request may be repeated.
    pub route_type: RouteType,
    /// Whether a broken stream may be resumed at another engine.
    pub resumable: bool,
    /// How long a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// The target for the first byte of a response, in milliseconds; 0: none.
    pub target_ms: u64,
    /// The priority of its requests, unless their tenant has one.
    pub priority: u32,
    /// How many times a request may be sent, at least 1.
    pub max_attempts: u32,
    /// Services by dense index, with their weights.
    pub targets: Vec<(u32, u64)>,
    /// The regions to which its requests may go; empty: all.
    pub allowed_regions: Vec<String>,
    /// Whether it is served without a key.
    pub anonymous: bool,
    /// The durations of its requests at this router, kept across changes of the route.
    pub durations: Arc<DurationEstimate>,
    /// How long its streams take at this router by their tokens, kept likewise.
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
    /// Connections to one engine at most, over all routers; 0: none configured.
    pub connections: u32,
    /// By how many requests a second the load of a new engine may rise each second.
    pub ramp_per_s: f64,
    /// How long its engines hold the KV cache of a prompt for a later phase, in milliseconds.
    pub hold_ms: u64,
}

/// The routing table. Invariants: the routes of a host are sorted by descending length of their prefix; `names` has
/// the host of each route.
#[derive(Default)]
pub struct RoutingTable {
    /// The revision of the configuration.
    pub revision: u64,
    /// Whether a request has been read under it yet.
    pub has_served: AtomicBool,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    names: HashMap<Arc<str>, Arc<str>>,
    /// The services by dense index.
    pub services: HashMap<u32, Service>,
    /// The tenants with their keys.
    pub tenants: Arc<Tenants>,
    /// The longest header of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a header may take to arrive, in milliseconds.
    pub header_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

/// Builds a route from its configuration.
fn route(item: &config::Route, engine_table: &mut EngineTable) -> Route {
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
fn service(item: &config::Service) -> Service {
    let engine = item.engine.as_ref();
    Service {
        connections: item.max_connections,
        ramp_per_s: item.ramp_per_s,
        hold_ms: engine.map_or(0, |engine| (engine.kv_hold_s * 1000.0) as u64),
    }
}

impl RoutingTable {
    /// Returns the table after an update. `None`: the update is no newer, or builds on another revision than this.
    pub fn apply(&self, change: &ConfigUpdate, engine_table: &mut EngineTable) -> Option<RoutingTable> {
        if change.to <= self.revision || (change.from != 0 && change.from != self.revision) {
            return None;
        }
        let mut next = RoutingTable {
            revision: change.to,
            header_bytes: change.limits.max_header_bytes as usize,
            body_bytes: change.limits.max_body_bytes as usize,
            header_ms: change.limits.header_timeout_ms,
            idle_ms: change.limits.idle_timeout_ms,
            tenants: Tenants::after(&self.tenants, change),
            ..RoutingTable::default()
        };
        if change.from != 0 {
            next.hosts.clone_from(&self.hosts);
            next.names.clone_from(&self.names);
            next.services.clone_from(&self.services);
        }
        for name in change.removed_routes.iter().chain(change.routes.iter().map(|route| &route.name)) {
            next.remove(name);
        }
        for item in &change.routes {
            let mut route = route(item, engine_table);
            if let Some(held) = self.route(&item.name) {
                route.durations = held.durations.clone();
                route.stream_durations = held.stream_durations.clone();
            }
            next.insert(&item.hostname, route);
        }
        for name in &change.removed_services {
            next.services.remove(&engine_table.service_index(name));
        }
        for item in &change.services {
            next.services.insert(engine_table.service_index(&item.name), service(item));
        }
        Some(next)
    }

    /// Inserts a route of a host. A route of the same name must have been removed before.
    fn insert(&mut self, hostname: &str, route: Route) {
        let host: Arc<str> = hostname.to_ascii_lowercase().into();
        self.names.insert(route.name.as_str().into(), host.clone());
        let list = self.hosts.entry(host).or_default();
        list.push(Arc::new(route));
        list.sort_by_key(|route| Reverse(route.prefix.len()));
    }

    /// Removes a route.
    fn remove(&mut self, name: &str) {
        let Some(host) = self.names.remove(name) else { return };
        let Some(list) = self.hosts.get_mut(&host) else { return };
        list.retain(|route| route.name != name);
        if list.is_empty() {
            self.hosts.remove(&host);
        }
    }

    /// Returns the route of a host and path: the one with the longest prefix. A port in the host is ignored unless
    /// a route names it.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let list = self.hosts.get(host.as_str()).or_else(|| self.hosts.get(host.rsplit_once(':')?.0))?;
        list.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a route by its name.
    pub fn route(&self, name: &str) -> Option<&Arc<Route>> {
        let list = self.hosts.get(self.names.get(name)?)?;
        list.iter().find(|route| route.name == name)
    }
}

/// Picks a service by weight with a random number; one of weight 0 is never picked.
///
/// # Panics
/// If `targets` is empty.
pub fn pick_weighted(targets: &[(u32, u64)], roll: u64) -> u32 {
    let sum: u64 = targets.iter().map(|(_, weight)| weight).sum();
    let mut left = roll % sum.max(1);
    for (service, weight) in targets {
        if left < *weight {
            return *service;
        }
        left -= weight;
    }
    targets[0].0
}

#[cfg(test)]
#[path = "routing_table_tests.rs"]
mod tests;
