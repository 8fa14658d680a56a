//! Decodes single values of a configuration from JSON. A number too large for its type is clamped to the maximum where
//! no request can tell the difference.

use std::borrow::Cow;

use super::bounds::MAX_DURATION_MS;
use super::json::{Json, Number};

/// The fields of an object.
pub type Fields<'a> = [(Cow<'a, str>, Json<'a>)];

/// The error of a value of the wrong type or range: what was expected instead.
pub struct Mismatch(pub &'static str);

/// Returns the fields that are not null.
pub fn non_null_fields<'a>(fields: &'a Fields) -> impl Iterator<Item = (&'a str, &'a Json<'a>)> {
    let non_null = fields.iter().filter(|(_, value)| !matches!(value, Json::Null));
    non_null.map(|(name, value)| (name.as_ref(), value))
}

/// Decodes an object.
pub fn object<'a>(value: &'a Json) -> Result<&'a Fields<'a>, Mismatch> {
    match value {
        Json::Object(fields) => Ok(fields),
        _ => Err(Mismatch("made up of objects")),
    }
}

/// Decodes an array of values.
pub fn array<T>(value: &Json, read: fn(&Json) -> Result<T, Mismatch>) -> Result<Vec<T>, Mismatch> {
    match value {
        Json::Array(items) => items.iter().map(read).collect(),
        _ => Err(Mismatch("a list")),
    }
}

/// Decodes a string.
pub fn string(value: &Json) -> Result<String, Mismatch> {
    match value {
        Json::String(text) => Ok(text.as_ref().into()),
        _ => Err(Mismatch("a string")),
    }
}

/// Decodes a boolean.
pub fn boolean(value: &Json) -> Result<bool, Mismatch> {
    match value {
        Json::Bool(value) => Ok(*value),
        _ => Err(Mismatch("true or false")),
    }
}

/// Decodes a non-negative integer, which may be written with an exponent or a zero fraction.
pub fn unsigned(value: &Json) -> Result<u64, Mismatch> {
    match value {
        Json::Number(Number::Unsigned(number)) => Ok(*number),
        // The cast saturates at the maximum.
        Json::Number(Number::Float(number)) if *number >= 0.0 && number.fract() == 0.0 => Ok(*number as u64),
        _ => Err(Mismatch("a non-negative integer")),
    }
}

/// Decodes a non-negative integer, clamped to the maximum of 32 bits.
pub fn unsigned_32(value: &Json) -> Result<u32, Mismatch> {
    unsigned(value).map(|number| u32::try_from(number).unwrap_or(u32::MAX))
}

/// Decodes a duration in milliseconds, clamped to [`MAX_DURATION_MS`].
pub fn duration_ms(value: &Json) -> Result<u64, Mismatch> {
    unsigned(value).map(|number| number.min(MAX_DURATION_MS))
}

/// Decodes any number.
pub fn number(value: &Json) -> Result<f64, Mismatch> {
    match value {
        Json::Number(Number::Unsigned(number)) => Ok(*number as f64),
        Json::Number(Number::Negative(number)) => Ok(*number as f64),
        Json::Number(Number::Float(number)) => Ok(*number),
        _ => Err(Mismatch("a number")),
    }
}
