//! Checks that the items of a configuration are consistent. Each check implements a rule of the published protocol, as
//! paraphrased in the comment beside it; `docs/questions.md` lists what these rules leave open.

use std::collections::{HashMap, HashSet};

use super::error::{ConfigError, ConfigErrorKind, Item};
use super::model::{Config, Route, Service, Tenant};

/// The route types that the protocol defines.
const ROUTE_TYPES: [&str; 3] = ["idempotent", "non_idempotent", "streaming"];

/// Checks a whole configuration.
///
/// # Errors
///
/// Returns the error of the first invalid item.
pub fn config(config: &Config) -> Result<(), ConfigError> {
    // The revision must be higher than the current one, which is 0 before the first configuration.
    if config.revision == 0 {
        return Err(ConfigError { item: Item::Field("revision".into()), kind: ConfigErrorKind::ZeroRevision });
    }
    let services = check_services(&config.service_table)?;
    check_routes(&config.route_table, &services)?;
    check_tenants(&config.tenant_table)
}

/// Checks the services and returns their names.
fn check_services(table: &[Service]) -> Result<HashSet<&str>, ConfigError> {
    let mut names = HashSet::with_capacity(table.len());
    for (index, service) in table.iter().enumerate() {
        let error = error_for(Item::Service, &service.name);
        require_name("service_table", index, &service.name)?;
        if !names.insert(service.name.as_str()) {
            return Err(error(ConfigErrorKind::DuplicateName));
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
        require_non_negative(numbers.into_iter().chain(engine_numbers)).map_err(&error)?;
        // A request selects a model by its name.
        if service.engine.iter().flat_map(|engine| &engine.model_list).any(|model| model.name.is_empty()) {
            return Err(error(ConfigErrorKind::InvalidField {
                field: "model_list",
                expected: "a list of named items",
            }));
        }
    }
    Ok(names)
}

fn check_routes(table: &[Route], services: &HashSet<&str>) -> Result<(), ConfigError> {
    let mut matches: HashMap<(&str, &str), &str> = HashMap::with_capacity(table.len());
    let mut names = HashSet::with_capacity(table.len());
    for (index, route) in table.iter().enumerate() {
        let error = error_for(Item::Route, &route.name);
        require_name("route_table", index, &route.name)?;
        if !names.insert(route.name.as_str()) {
            return Err(error(ConfigErrorKind::DuplicateName));
        }
        check_route(route, services).map_err(&error)?;
        // Two routes must not share hostname and path prefix.
        let match_key = (route.hostname.as_str(), route.path_prefix.as_str());
        if let Some(other) = matches.insert(match_key, &route.name) {
            return Err(error(ConfigErrorKind::DuplicateMatch { other: other.into() }));
        }
    }
    Ok(())
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<(), ConfigErrorKind> {
    // The host and the path of a request select its route.
    if route.hostname.is_empty() {
        return Err(ConfigErrorKind::MissingField { field: "hostname" });
    }
    // A path prefix begins and ends with a slash.
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(ConfigErrorKind::InvalidPathPrefix);
    }
    // The type determines whether a request may run more than once; the semantics of an undefined type are unknown.
    if !ROUTE_TYPES.contains(&route.route_type.as_str()) {
        return Err(ConfigErrorKind::UnknownRouteType);
    }
    // The timeout must not be 0.
    if route.timeout_ms == 0 {
        return Err(ConfigErrorKind::ZeroTimeout);
    }
    // A route must not name an unknown service, even if a valid traffic split takes precedence over it.
    let single = route.service.as_deref().filter(|service| !service.is_empty());
    let parts = route.traffic_split.iter().map(|part| part.service.as_str());
    if let Some(service) = single.into_iter().chain(parts).find(|service| !services.contains(service)) {
        return Err(ConfigErrorKind::UnknownService { service: service.into() });
    }
    // Requests go to an engine of the route's service, so the route needs one.
    if single.is_none() && route.traffic_split.is_empty() {
        return Err(ConfigErrorKind::MissingService);
    }
    // The weights must not sum to 0.
    if !route.traffic_split.is_empty() && route.traffic_split.iter().all(|part| part.weight == 0) {
        return Err(ConfigErrorKind::ZeroWeights);
    }
    Ok(())
}

fn check_tenants(table: &[Tenant]) -> Result<(), ConfigError> {
    let mut owners: HashMap<&str, &str> = HashMap::with_capacity(table.len());
    let mut names = HashSet::with_capacity(table.len());
    for (index, tenant) in table.iter().enumerate() {
        let error = error_for(Item::Tenant, &tenant.name);
        require_name("tenant_table", index, &tenant.name)?;
        if !names.insert(tenant.name.as_str()) {
            return Err(error(ConfigErrorKind::DuplicateName));
        }
        require_non_negative([("rate_per_s", tenant.rate_per_s), ("burst_size", tenant.burst_size)].into_iter())
            .map_err(&error)?;
        for key in &tenant.api_keys {
            // A request must carry a key, and an empty string is not one.
            if key.is_empty() {
                return Err(error(ConfigErrorKind::EmptyKey));
            }
            // Two tenants must not share a key; one tenant may list a key twice.
            let other = owners.insert(key, &tenant.name);
            if let Some(other) = other.filter(|other| *other != tenant.name) {
                return Err(error(ConfigErrorKind::DuplicateKey { other: other.into() }));
            }
        }
    }
    Ok(())
}

/// Requires a name: a patch could not address an item without one.
fn require_name(table: &str, index: usize, name: &str) -> Result<(), ConfigError> {
    if name.is_empty() {
        let item = Item::Entry { table: table.into(), index };
        return Err(ConfigError { item, kind: ConfigErrorKind::MissingField { field: "name" } });
    }
    Ok(())
}

/// Requires non-negative numbers: negative rates, durations and sizes have no meaning.
fn require_non_negative(mut numbers: impl Iterator<Item = (&'static str, f64)>) -> Result<(), ConfigErrorKind> {
    match numbers.find(|(_, number)| *number < 0.0) {
        Some((field, _)) => Err(ConfigErrorKind::InvalidField { field, expected: "a non-negative number" }),
        None => Ok(()),
    }
}

/// Returns a function that builds errors about the item called `name`.
fn error_for<'a>(item: fn(String) -> Item, name: &'a str) -> impl Fn(ConfigErrorKind) -> ConfigError + 'a {
    move |kind| ConfigError { item: item(name.into()), kind }
}
