//! Decodes JSON into the types of `model` and checks the type and range of each value. `check` verifies that the values
//! are consistent with each other.
//!
//! A null field counts as missing. Unknown fields are ignored, because later versions of the protocol may add fields.
//! A number too large for its type is clamped to the maximum where no request can tell the difference.

use super::error::{ConfigError, ConfigErrorKind, Item};
use super::field_names::{KNOWN_FIELDS, LIMITS, REVISION, ROUTES, SERVICES, TENANTS};
use super::host;
use super::json::{Json, Number};
use super::model::{Config, Engine, Limits, Model, Route, Service, Split, Tenant};
use super::values::{
    array, boolean, duration_ms, non_null_fields, number, object, string, unsigned, unsigned_32, Fields, Mismatch,
};

/// Whether the tables that the protocol requires must be present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strictness {
    /// For a configuration from an operator: the tables must be present.
    Operator,
    /// For a committed configuration: earlier versions treated a missing table as empty.
    Committed,
}

/// Decodes a whole configuration.
pub fn config(value: &Json, strictness: Strictness) -> Result<Config, ConfigError> {
    let Json::Object(fields) = value else { return Err(ConfigError::invalid_item(Item::Body, "an object")) };
    let mut config = Config::default();
    let (mut routes, mut services) = (None, None);
    for (name, value) in non_null_fields(fields) {
        match name {
            REVISION => config.revision = revision(value)?,
            ROUTES => routes = Some(table(ROUTES, value, route)?),
            SERVICES => services = Some(table(SERVICES, value, service)?),
            TENANTS => {
                config.tenant_table = table(TENANTS, value, tenant)?;
                config.requires_keys = true;
            }
            LIMITS => config.limits = limits(value)?,
            _ => {}
        }
    }
    let missing = |field| ConfigError { item: Item::Body, kind: ConfigErrorKind::MissingField { field } };
    if strictness == Strictness::Operator && routes.is_none() {
        return Err(missing(ROUTES));
    }
    if strictness == Strictness::Operator && services.is_none() {
        return Err(missing(SERVICES));
    }
    config.route_table = routes.unwrap_or_default();
    config.service_table = services.unwrap_or_default();
    Ok(config)
}

/// Decodes a revision: an integer written without a fraction or an exponent.
pub fn revision(value: &Json) -> Result<u64, ConfigError> {
    match value {
        Json::Number(Number::Unsigned(number)) => Ok(*number),
        _ => Err(ConfigError::invalid_item(Item::Field(REVISION.into()), "a positive integer")),
    }
}

/// Decodes the items of a table.
pub fn table<T>(
    name: &str,
    value: &Json,
    read: fn(&Fields, Item) -> Result<T, ConfigError>,
) -> Result<Vec<T>, ConfigError> {
    let Json::Array(items) = value else {
        return Err(ConfigError::invalid_item(Item::Field(name.into()), "a list of items"));
    };
    let read_entry = |(index, item): (usize, &Json)| {
        let entry = Item::Entry { table: name.into(), index };
        match item {
            Json::Object(fields) => read(fields, entry),
            _ => Err(ConfigError::invalid_item(entry, "an object")),
        }
    };
    items.iter().enumerate().map(read_entry).collect()
}

/// Returns the name of an item, or `None` if it is missing, empty or not a string.
pub fn name<'a>(fields: &'a Fields) -> Option<&'a str> {
    let field = fields.iter().rev().find(|(name, _)| name == "name");
    match field {
        Some((_, Json::String(name))) if !name.is_empty() => Some(name),
        _ => None,
    }
}

/// Decodes a route; `entry` identifies it in errors if it has no name.
pub fn route(fields: &Fields, entry: Item) -> Result<Route, ConfigError> {
    let item = name(fields).map_or(entry, |name| Item::Route(name.into()));
    let mut route = Route::default();
    for_each_field(fields, &item, |field, value| {
        match field {
            "name" => route.name = string(value)?,
            "hostname" => route.hostname = host::normalize(&string(value)?),
            "path_prefix" => route.path_prefix = string(value)?,
            "route_type" => route.route_type = string(value)?,
            "timeout_ms" => route.timeout_ms = duration_ms(value)?,
            "target_ms" => route.target_ms = duration_ms(value)?,
            "priority" => route.priority = unsigned_32(value)?,
            "service" => route.service = Some(string(value)?),
            "traffic_split" => route.traffic_split = array(value, split)?,
            "retry_count" => route.retry_count = unsigned_32(value)?,
            "persistent" => route.persistent = boolean(value)?,
            "resumable" => route.resumable = boolean(value)?,
            "gap_target_ms" => route.gap_target_ms = duration_ms(value)?,
            "allowed_regions" => route.allowed_regions = array(value, string)?,
            "anonymous" => route.anonymous = boolean(value)?,
            _ => {}
        }
        Ok(())
    })?;
    Ok(route)
}

fn split(value: &Json) -> Result<Split, Mismatch> {
    let mut split = Split { service: String::new(), weight: 1 };
    for (name, value) in non_null_fields(object(value)?) {
        match name {
            "service" => split.service = string(value)?,
            "weight" => split.weight = unsigned(value)?,
            _ => {}
        }
    }
    Ok(split)
}

/// Decodes a service; `entry` identifies it in errors if it has no name.
pub fn service(fields: &Fields, entry: Item) -> Result<Service, ConfigError> {
    let item = name(fields).map_or(entry, |name| Item::Service(name.into()));
    let mut service = Service::default();
    for_each_field(fields, &item, |field, value| {
        match field {
            "name" => service.name = string(value)?,
            "health_path" => service.health_path = string(value)?,
            "max_connections" => service.max_connections = unsigned_32(value)?,
            "warmup_s" => service.warmup_s = number(value)?,
            "ramp_per_s" => service.ramp_per_s = number(value)?,
            "engine" => service.engine = Some(engine(value)?),
            _ => {}
        }
        Ok(())
    })?;
    Ok(service)
}

fn engine(value: &Json) -> Result<Engine, Mismatch> {
    let mut engine = Engine::default();
    for (name, value) in non_null_fields(object(value)?) {
        match name {
            "slot_count" => engine.slot_count = unsigned_32(value)?,
            "kv_capacity" => engine.kv_capacity = unsigned(value)?,
            "kv_token_bytes" => engine.kv_token_bytes = number(value)?,
            "link_mbps" => engine.link_mbps = number(value)?,
            "kv_hold_s" => engine.kv_hold_s = number(value)?,
            "role_switch_s" => engine.role_switch_s = number(value)?,
            "model_list" => engine.model_list = array(value, model)?,
            _ => {}
        }
    }
    Ok(engine)
}

fn model(value: &Json) -> Result<Model, Mismatch> {
    let mut model = Model::default();
    for (name, value) in non_null_fields(object(value)?) {
        if name == "name" {
            model.name = string(value)?;
        }
    }
    Ok(model)
}

/// Decodes a tenant; `entry` identifies it in errors if it has no name.
pub fn tenant(fields: &Fields, entry: Item) -> Result<Tenant, ConfigError> {
    let item = name(fields).map_or(entry, |name| Item::Tenant(name.into()));
    let mut tenant = Tenant::default();
    for_each_field(fields, &item, |field, value| {
        match field {
            "name" => tenant.name = string(value)?,
            "api_keys" => tenant.api_keys = array(value, string)?,
            "priority" => tenant.priority = Some(unsigned_32(value)?),
            "rate_per_s" => tenant.rate_per_s = number(value)?,
            "burst_size" => tenant.burst_size = number(value)?,
            "allowed_regions" => tenant.allowed_regions = array(value, string)?,
            _ => {}
        }
        Ok(())
    })?;
    Ok(tenant)
}

/// Decodes the limits for client connections.
pub fn limits(value: &Json) -> Result<Limits, ConfigError> {
    let Json::Object(fields) = value else {
        return Err(ConfigError::invalid_item(Item::Field(LIMITS.into()), "an object"));
    };
    let mut limits = Limits::default();
    for_each_field(fields, &Item::Field(LIMITS.into()), |field, value| {
        match field {
            "max_header_bytes" => limits.max_header_bytes = unsigned(value)?,
            "max_body_bytes" => limits.max_body_bytes = unsigned(value)?,
            "header_timeout_ms" => limits.header_timeout_ms = duration_ms(value)?,
            "idle_timeout_ms" => limits.idle_timeout_ms = duration_ms(value)?,
            _ => {}
        }
        Ok(())
    })?;
    Ok(limits)
}

/// Calls `read` for each field that is not null; an error names the item and the field.
fn for_each_field(
    fields: &Fields,
    item: &Item,
    mut read: impl FnMut(&str, &Json) -> Result<(), Mismatch>,
) -> Result<(), ConfigError> {
    for (name, value) in non_null_fields(fields) {
        read(name, value).map_err(|Mismatch(expected)| {
            // Only known fields are decoded, so only they can fail.
            let field = KNOWN_FIELDS.iter().find(|known| **known == name).copied().unwrap_or("a field");
            ConfigError { item: item.clone(), kind: ConfigErrorKind::InvalidField { field, expected } }
        })?;
    }
    Ok(())
}
