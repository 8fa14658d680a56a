//! Single values of a configuration, from JSON. Numbers beyond what a type holds are held as its largest where no
//! request can tell the difference.

use std::borrow::Cow;

use super::json::{Json, Number};

/// Names of fields, which may be shown in errors.
pub const FIELDS: &[&str] = &[
    "adapter_list",
    "allowed_regions",
    "anonymous",
    "api_keys",
    "burst_size",
    "engine",
    "gap_target_ms",
    "header_timeout_ms",
    "health_path",
    "hostname",
    "idle_timeout_ms",
    "kv_capacity",
    "kv_hold_s",
    "kv_token_bytes",
    "limits",
    "link_mbps",
    "max_body_bytes",
    "max_connections",
    "max_header_bytes",
    "model_list",
    "name",
    "path_prefix",
    "persistent",
    "priority",
    "protocol",
    "ramp_per_s",
    "rate_per_s",
    "resumable",
    "retry_count",
    "revision",
    "role_switch_s",
    "route_table",
    "route_type",
    "service",
    "service_table",
    "slot_count",
    "stride",
    "target_ms",
    "tenant_table",
    "timeout_ms",
    "traffic_split",
    "upsert",
    "weight",
    "withdraw",
];

/// The longest time, ten years: what is longer can't be told from it, and sums of times never overflow.
pub const LONGEST_MS: u64 = 10 * 365 * 24 * 3600 * 1000;

/// The fields of an object.
pub type Fields<'a> = [(Cow<'a, str>, Json<'a>)];

/// What a field was expected to hold.
pub struct Mismatch(pub &'static str);

/// The fields that are there.
pub fn present<'a>(fields: &'a Fields) -> impl Iterator<Item = (&'a str, &'a Json<'a>)> {
    let held = fields.iter().filter(|(_, value)| !matches!(value, Json::Null));
    held.map(|(name, value)| (name.as_ref(), value))
}

pub fn object<'a>(value: &'a Json) -> Result<&'a Fields<'a>, Mismatch> {
    match value {
        Json::Object(fields) => Ok(fields),
        _ => Err(Mismatch("made of objects")),
    }
}

pub fn list<T>(value: &Json, read: fn(&Json) -> Result<T, Mismatch>) -> Result<Vec<T>, Mismatch> {
    match value {
        Json::List(items) => items.iter().map(read).collect(),
        _ => Err(Mismatch("a list")),
    }
}

pub fn text(value: &Json) -> Result<String, Mismatch> {
    match value {
        Json::Text(text) => Ok(text.as_ref().into()),
        _ => Err(Mismatch("a text")),
    }
}

pub fn flag(value: &Json) -> Result<bool, Mismatch> {
    match value {
        Json::Bool(flag) => Ok(*flag),
        _ => Err(Mismatch("true or false")),
    }
}

/// A whole number from 0, also written with a fraction of zero or an exponent.
pub fn whole(value: &Json) -> Result<u64, Mismatch> {
    match value {
        Json::Number(Number::Whole(number)) => Ok(*number),
        // Rounds down to the largest where the number is larger.
        Json::Number(Number::Float(number)) if *number >= 0.0 && number.fract() == 0.0 => Ok(*number as u64),
        _ => Err(Mismatch("a whole number from 0")),
    }
}

pub fn small(value: &Json) -> Result<u32, Mismatch> {
    whole(value).map(|number| u32::try_from(number).unwrap_or(u32::MAX))
}

pub fn duration(value: &Json) -> Result<u64, Mismatch> {
    whole(value).map(|number| number.min(LONGEST_MS))
}

pub fn number(value: &Json) -> Result<f64, Mismatch> {
    match value {
        Json::Number(Number::Whole(number)) => Ok(*number as f64),
        Json::Number(Number::Negative(number)) => Ok(*number as f64),
        Json::Number(Number::Float(number)) => Ok(*number),
        _ => Err(Mismatch("a number")),
    }
}
