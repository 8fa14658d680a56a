//! Decodes single values of a configuration from JSON. A number beyond what a type holds becomes its largest where no
//! request can tell the difference.

use std::borrow::Cow;

use super::bounds::LONGEST_MS;
use super::json::{Json, Number};

/// The fields of an object.
pub type Fields<'a> = [(Cow<'a, str>, Json<'a>)];

/// What a field was expected to hold.
pub struct Mismatch(pub &'static str);

/// Returns the fields that are there and not null.
pub fn present<'a>(fields: &'a Fields) -> impl Iterator<Item = (&'a str, &'a Json<'a>)> {
    let present = fields.iter().filter(|(_, value)| !matches!(value, Json::Null));
    present.map(|(name, value)| (name.as_ref(), value))
}

/// Decodes an object.
pub fn object<'a>(value: &'a Json) -> Result<&'a Fields<'a>, Mismatch> {
    match value {
        Json::Object(fields) => Ok(fields),
        _ => Err(Mismatch("made of objects")),
    }
}

/// Decodes a list of values.
pub fn list<T>(value: &Json, read: fn(&Json) -> Result<T, Mismatch>) -> Result<Vec<T>, Mismatch> {
    match value {
        Json::List(items) => items.iter().map(read).collect(),
        _ => Err(Mismatch("a list")),
    }
}

/// Decodes a string.
pub fn text(value: &Json) -> Result<String, Mismatch> {
    match value {
        Json::Text(text) => Ok(text.as_ref().into()),
        _ => Err(Mismatch("a text")),
    }
}

/// Decodes a boolean.
pub fn boolean(value: &Json) -> Result<bool, Mismatch> {
    match value {
        Json::Bool(value) => Ok(*value),
        _ => Err(Mismatch("true or false")),
    }
}

/// Decodes a whole number from 0, also one written with a fraction of zero or an exponent.
pub fn unsigned(value: &Json) -> Result<u64, Mismatch> {
    match value {
        Json::Number(Number::Unsigned(number)) => Ok(*number),
        // Rounds down to the largest where the number is larger.
        Json::Number(Number::Float(number)) if *number >= 0.0 && number.fract() == 0.0 => Ok(*number as u64),
        _ => Err(Mismatch("a whole number from 0")),
    }
}

/// Decodes a whole number from 0; a larger one becomes the largest of 32 bits.
pub fn unsigned_32(value: &Json) -> Result<u32, Mismatch> {
    unsigned(value).map(|number| u32::try_from(number).unwrap_or(u32::MAX))
}

/// Decodes a number of milliseconds; a larger one becomes [`LONGEST_MS`].
pub fn duration(value: &Json) -> Result<u64, Mismatch> {
    unsigned(value).map(|number| number.min(LONGEST_MS))
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
