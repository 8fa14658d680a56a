//! The configuration in force, made for look-ups: names are dense indices from here on.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use load_balancing::EngineTable;
use protocol::config;
use protocol::config_update::ConfigUpdate;

use crate::config::tenants::Tenants;
use crate::proxy::duration_estimate::DurationEstimate;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    Idempotent,
    NonIdempotent,
    Streaming,
}

/// Invariant: `targets` is not empty and its weights sum to more than 0.
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub kind: RouteKind,
    pub resumable: bool,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub priority: u32,
    pub max_attempts: u32,
    pub targets: Vec<(u32, u64)>,
    pub allowed_regions: Vec<String>,
    /// Served without a key.
    pub anonymous: bool,
    /// Of its requests at this router, across changes of the route.
    pub durations: Arc<DurationEstimate>,
}

impl Route {
    /// May it run more than once?
    pub fn repeatable(&self) -> bool {
        self.kind == RouteKind::Idempotent || (self.kind == RouteKind::Streaming && self.resumable)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Service {
    pub connections: u32,
    pub ramp_per_s: f64,
    pub hold_ms: u64,
}

/// Invariants: routes of a host stand longest prefix first; `names` gives the host of each route.
#[derive(Default)]
pub struct RoutingTable {
    pub revision: u64,
    /// Has a request been read under it yet?
    pub has_served: AtomicBool,
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    names: HashMap<Arc<str>, Arc<str>>,
    pub services: HashMap<u32, Service>,
    pub tenants: Arc<Tenants>,
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_ms: u64,
    pub idle_ms: u64,
}

fn route(item: &config::Route, engine_table: &mut EngineTable) -> Route {
    let kind = match item.route_type.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "streaming" => RouteKind::Streaming,
        _ => RouteKind::NonIdempotent,
    };
    let targets = config::targets(item).into_iter().map(|(name, weight)| (engine_table.service_index(name), weight));
    Route {
        name: item.name.clone(),
        prefix: item.path_prefix.clone(),
        kind,
        resumable: item.resumable,
        timeout_ms: item.timeout_ms,
        target_ms: item.target_ms,
        priority: item.priority,
        max_attempts: item.retry_count.max(1),
        targets: targets.collect(),
        allowed_regions: item.allowed_regions.clone(),
        anonymous: item.anonymous,
        durations: Default::default(),
    }
}

fn service(item: &config::Service) -> Service {
    let engine = item.engine.as_ref();
    Service {
        connections: item.max_connections,
        ramp_per_s: item.ramp_per_s,
        hold_ms: engine.map_or(0, |engine| (engine.kv_hold_s * 1000.0) as u64),
    }
}

impl RoutingTable {
    /// The table after a change. None: it is no newer, or counts on top of another revision than this.
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
            let host: Arc<str> = item.hostname.to_ascii_lowercase().into();
            next.names.insert(item.name.as_str().into(), host.clone());
            let durations = self.route(&item.name).map_or_else(Default::default, |held| held.durations.clone());
            let list = next.hosts.entry(host).or_default();
            list.push(Arc::new(Route { durations, ..route(item, engine_table) }));
            list.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        for name in &change.removed_services {
            next.services.remove(&engine_table.service_index(name));
        }
        for item in &change.services {
            next.services.insert(engine_table.service_index(&item.name), service(item));
        }
        Some(next)
    }

    fn remove(&mut self, name: &str) {
        let Some(host) = self.names.remove(name) else { return };
        let Some(list) = self.hosts.get_mut(&host) else { return };
        list.retain(|route| route.name != name);
        if list.is_empty() {
            self.hosts.remove(&host);
        }
    }

    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let list = self.hosts.get(host.as_str()).or_else(|| self.hosts.get(host.rsplit_once(':')?.0))?;
        list.iter().find(|route| path.starts_with(&route.prefix))
    }

    pub fn route(&self, name: &str) -> Option<&Arc<Route>> {
        let list = self.hosts.get(self.names.get(name)?)?;
        list.iter().find(|route| route.name == name)
    }
}

/// Picks by weight; a service of weight 0 is never picked.
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
