//! Checks that the items of a configuration fit together. Each check rests on a sentence of the published protocol, which
//! the comment beside it repeats in our words; what these leave open is listed in `docs/questions.md`.

use std::collections::{HashMap, HashSet};

use super::error::{ConfigError, ConfigErrorKind, Item};
use super::model::{Config, Route, Service, Tenant};

/// The types of routes that the protocol defines.
const ROUTE_TYPES: [&str; 3] = ["idempotent", "non_idempotent", "streaming"];

/// Checks a whole configuration.
///
/// # Errors
///
/// Returns the first item that does not fit.
pub fn config(config: &Config) -> Result<(), ConfigError> {
    // A configuration carries its revision, which must be above the current one, and that is 0 before the first.
    if config.revision == 0 {
        return Err(ConfigError { item: Item::Field("revision".into()), kind: ConfigErrorKind::ZeroRevision });
    }
    let services = services(&config.service_table)?;
    routes(&config.route_table, &services)?;
    tenants(&config.tenant_table)
}

fn services(table: &[Service]) -> Result<HashSet<&str>, ConfigError> {
    let mut names = HashSet::with_capacity(table.len());
    for (index, service) in table.iter().enumerate() {
        let fail = error_of(Item::Service, &service.name);
        require_name("service_table", index, &service.name)?;
        if !names.insert(service.name.as_str()) {
            return Err(fail(ConfigErrorKind::DuplicateName));
        }
        let engine = service.engine.iter();
        let engine_numbers = engine.flat_map(|engine| {
            [
                ("kv_token_bytes", engine.kv_token_bytes),
                ("link_mbps", engine.link_mbps),
                ("kv_hold_s", engine.kv_hold_s),
                ("role_switch_s", engine.role_switch_s),
            ]
        });
        let numbers = [("warmup_s", service.warmup_s), ("ramp_per_s", service.ramp_per_s)];
        not_negative(numbers.into_iter().chain(engine_numbers)).map_err(&fail)?;
        // A request names the model that it wants.
        if service.engine.iter().flat_map(|engine| &engine.model_list).any(|model| model.name.is_empty()) {
            return Err(fail(ConfigErrorKind::InvalidField {
                field: "model_list",
                expected: "made of items with names",
            }));
        }
    }
    Ok(names)
}

fn routes(table: &[Route], services: &HashSet<&str>) -> Result<(), ConfigError> {
    let mut matches: HashMap<(&str, &str), &str> = HashMap::with_capacity(table.len());
    let mut names = HashSet::with_capacity(table.len());
    for (index, route) in table.iter().enumerate() {
        let fail = error_of(Item::Route, &route.name);
        require_name("route_table", index, &route.name)?;
        if !names.insert(route.name.as_str()) {
            return Err(fail(ConfigErrorKind::DuplicateName));
        }
        one_route(route, services).map_err(&fail)?;
        // Two routes that share host and prefix make it invalid.
        let matched = (route.hostname.as_str(), route.path_prefix.as_str());
        if let Some(other) = matches.insert(matched, &route.name) {
            return Err(fail(ConfigErrorKind::DuplicateMatch { other: other.into() }));
        }
    }
    Ok(())
}

fn one_route(route: &Route, services: &HashSet<&str>) -> Result<(), ConfigErrorKind> {
    // A host and a path pick the route.
    if route.hostname.is_empty() {
        return Err(ConfigErrorKind::MissingField { field: "hostname" });
    }
    // Prefixes begin and end with a slash.
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(ConfigErrorKind::InvalidPathPrefix);
    }
    // The type says whether a request may run more than once; what another type would say is not known.
    if !ROUTE_TYPES.contains(&route.route_type.as_str()) {
        return Err(ConfigErrorKind::UnknownRouteType);
    }
    // A timeout of 0 makes it invalid.
    if route.timeout_ms == 0 {
        return Err(ConfigErrorKind::ZeroTimeout);
    }
    // A route that names an unknown service makes it invalid, also beside a good split.
    let single = route.service.as_deref().filter(|service| !service.is_empty());
    let parts = route.traffic_split.iter().map(|part| part.service.as_str());
    if let Some(service) = single.into_iter().chain(parts).find(|service| !services.contains(service)) {
        return Err(ConfigErrorKind::UnknownService { service: service.into() });
    }
    // Requests go to an engine of the route's service, so it has one.
    if single.is_none() && route.traffic_split.is_empty() {
        return Err(ConfigErrorKind::MissingService);
    }
    // Weights that sum to 0 make it invalid.
    if !route.traffic_split.is_empty() && route.traffic_split.iter().all(|part| part.weight == 0) {
        return Err(ConfigErrorKind::ZeroWeights);
    }
    Ok(())
}

fn tenants(table: &[Tenant]) -> Result<(), ConfigError> {
    let mut owners: HashMap<&str, &str> = HashMap::with_capacity(table.len());
    let mut names = HashSet::with_capacity(table.len());
    for (index, tenant) in table.iter().enumerate() {
        let fail = error_of(Item::Tenant, &tenant.name);
        require_name("tenant_table", index, &tenant.name)?;
        if !names.insert(tenant.name.as_str()) {
            return Err(fail(ConfigErrorKind::DuplicateName));
        }
        not_negative([("rate_per_s", tenant.rate_per_s), ("burst_size", tenant.burst_size)].into_iter())
            .map_err(&fail)?;
        for key in &tenant.api_keys {
            // A request must carry a key, and nothing is none.
            if key.is_empty() {
                return Err(fail(ConfigErrorKind::EmptyKey));
            }
            // Two tenants that share a key make it invalid; one may list a key twice.
            let other = owners.insert(key, &tenant.name);
            if let Some(other) = other.filter(|other| *other != tenant.name) {
                return Err(fail(ConfigErrorKind::DuplicateKey { other: other.into() }));
            }
        }
    }
    Ok(())
}

/// Requires a name: a patch could not reach an item without one.
fn require_name(table: &str, index: usize, name: &str) -> Result<(), ConfigError> {
    if name.is_empty() {
        let item = Item::Entry { table: table.into(), index };
        return Err(ConfigError { item, kind: ConfigErrorKind::MissingField { field: "name" } });
    }
    Ok(())
}

/// Requires numbers from 0: rates, times and sizes below that cannot be served.
fn not_negative(mut numbers: impl Iterator<Item = (&'static str, f64)>) -> Result<(), ConfigErrorKind> {
    match numbers.find(|(_, number)| *number < 0.0) {
        Some((field, _)) => Err(ConfigErrorKind::InvalidField { field, expected: "a number from 0" }),
        None => Ok(()),
    }
}

/// Returns what makes an error about the item of this name.
fn error_of<'a>(item: fn(String) -> Item, name: &'a str) -> impl Fn(ConfigErrorKind) -> ConfigError + 'a {
    move |kind| ConfigError { item: item(name.into()), kind }
}
