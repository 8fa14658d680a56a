//! Strict JSON: a single value without trailing characters, no duplicate fields, and limits on the nesting depth and
//! the number of values. Strings are borrowed from the text unless they contain escapes.

use std::borrow::Cow;
use std::cell::Cell;
use std::collections::HashSet;
use std::fmt;

use serde::de::{self, DeserializeSeed, MapAccess, SeqAccess, Visitor};
use serde_json::de::StrRead;

use super::bounds::{MAX_DEPTH, MAX_VALUES};
use super::error::{ConfigError, ConfigErrorKind, Item, Syntax};
use super::field_names::redact_unknown;

/// Objects with up to this many fields are searched for duplicates pairwise; larger ones use a hash set.
const MAX_PAIRWISE_FIELDS: usize = 24;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json<'a> {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number.
    Number(Number),
    /// A string.
    String(Cow<'a, str>),
    /// An array.
    Array(Vec<Json<'a>>),
    /// An object, with its fields in the order of the text.
    Object(Vec<(Cow<'a, str>, Json<'a>)>),
}

/// A number, by the form in which it was written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Number {
    /// A non-negative integer.
    Unsigned(u64),
    /// A negative integer.
    Negative(i64),
    /// A number with a fraction or an exponent, or an integer that does not fit into 64 bits.
    Float(f64),
}

/// Parses a text that must consist of a single value.
pub fn parse(text: &str) -> Result<Json<'_>, ConfigError> {
    let (value, mut deserializer) = parse_first(text)?;
    deserializer.end().map_err(|error| syntax_error(Syntax::TrailingCharacters, &error))?;
    match duplicate_field(&value) {
        Some(path) => Err(ConfigError { item: Item::Field(path), kind: ConfigErrorKind::DuplicateField }),
        None => Ok(value),
    }
}

/// Parses the first value of a text and ignores what follows it. The last one of duplicate fields takes precedence.
pub fn parse_lenient(text: &str) -> Result<Json<'_>, ConfigError> {
    parse_first(text).map(|(value, _)| value)
}

type TextDeserializer<'a> = serde_json::Deserializer<StrRead<'a>>;

fn parse_first(text: &str) -> Result<(Json<'_>, TextDeserializer<'_>), ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let bounds = Bounds { remaining_values: Cell::new(MAX_VALUES), too_deep: Cell::new(false) };
    let seed = ValueSeed { bounds: &bounds, depth: 0 };
    match DeserializeSeed::deserialize(seed, &mut deserializer) {
        Ok(value) => Ok((value, deserializer)),
        Err(_) if bounds.too_deep.get() => Err(ConfigError { item: Item::Body, kind: ConfigErrorKind::TooDeep }),
        Err(_) if bounds.remaining_values.get() == 0 => {
            Err(ConfigError { item: Item::Body, kind: ConfigErrorKind::TooManyValues })
        }
        Err(error) if error.is_eof() => Err(syntax_error(Syntax::UnexpectedEnd, &error)),
        Err(error) => Err(syntax_error(Syntax::Malformed, &error)),
    }
}

/// Keeps only line and column of the parser's error: its message may quote the text, which may contain an API key.
fn syntax_error(syntax: Syntax, error: &serde_json::Error) -> ConfigError {
    let kind = ConfigErrorKind::Syntax { syntax, line: error.line(), column: error.column() };
    ConfigError { item: Item::Body, kind }
}

/// Limits that apply while a text is parsed.
struct Bounds {
    /// How many more values the text may contain.
    remaining_values: Cell<usize>,
    too_deep: Cell<bool>,
}

#[derive(Clone, Copy)]
struct ValueSeed<'b> {
    bounds: &'b Bounds,
    depth: usize,
}

impl ValueSeed<'_> {
    /// Returns the seed for the values inside this one.
    fn nested<E: de::Error>(self) -> Result<Self, E> {
        if self.depth >= MAX_DEPTH {
            self.bounds.too_deep.set(true);
            return Err(E::custom("nested too deeply"));
        }
        Ok(ValueSeed { depth: self.depth + 1, ..self })
    }

    fn count_value<E: de::Error>(self) -> Result<(), E> {
        let remaining = self.bounds.remaining_values.get().saturating_sub(1);
        self.bounds.remaining_values.set(remaining);
        if remaining == 0 {
            return Err(E::custom("too many values"));
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Json<'de>;

    fn deserialize<D: serde::Deserializer<'de>>(self, deserializer: D) -> Result<Json<'de>, D::Error> {
        self.count_value()?;
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Json<'de>;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Json<'de>, E> {
        Ok(Json::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Json<'de>, E> {
        Ok(Json::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Json<'de>, E> {
        Ok(Json::Number(Number::Unsigned(value)))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Json<'de>, E> {
        Ok(Json::Number(u64::try_from(value).map_or(Number::Negative(value), Number::Unsigned)))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Json<'de>, E> {
        Ok(Json::Number(Number::Float(value)))
    }

    fn visit_borrowed_str<E>(self, value: &'de str) -> Result<Json<'de>, E> {
        Ok(Json::String(Cow::Borrowed(value)))
    }

    fn visit_str<E>(self, value: &str) -> Result<Json<'de>, E> {
        Ok(Json::String(Cow::Owned(value.into())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Json<'de>, A::Error> {
        let seed = self.nested()?;
        let mut list = Vec::new();
        while let Some(item) = items.next_element_seed(seed)? {
            list.push(item);
        }
        Ok(Json::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Json<'de>, A::Error> {
        let seed = self.nested()?;
        let mut fields = Vec::new();
        while let Some(name) = entries.next_key_seed(FieldName)? {
            fields.push((name, entries.next_value_seed(seed)?));
        }
        Ok(Json::Object(fields))
    }
}

/// Deserializes the name of a field, borrowed from the text unless it contains escapes.
pub struct FieldName;

impl<'de> DeserializeSeed<'de> for FieldName {
    type Value = Cow<'de, str>;

    fn deserialize<D: serde::Deserializer<'de>>(self, deserializer: D) -> Result<Cow<'de, str>, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl<'de> Visitor<'de> for FieldName {
    type Value = Cow<'de, str>;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a field name")
    }

    fn visit_borrowed_str<E>(self, name: &'de str) -> Result<Cow<'de, str>, E> {
        Ok(Cow::Borrowed(name))
    }

    fn visit_str<E>(self, name: &str) -> Result<Cow<'de, str>, E> {
        Ok(Cow::Owned(name.into()))
    }
}

/// Returns the path of the first duplicate field of an object at any depth.
fn duplicate_field(value: &Json) -> Option<String> {
    match value {
        Json::Array(items) => {
            let found = items.iter().enumerate().find_map(|(index, item)| Some((index, duplicate_field(item)?)));
            found.map(|(index, path)| join_path(&format!("[{index}]"), &path))
        }
        Json::Object(fields) => {
            if let Some(name) = duplicate_name(fields) {
                return Some(redact_unknown(name).into());
            }
            let found = fields.iter().find_map(|(name, field)| Some((name, duplicate_field(field)?)));
            found.map(|(name, path)| join_path(redact_unknown(name), &path))
        }
        _ => None,
    }
}

fn join_path(first: &str, path: &str) -> String {
    let dot = if path.starts_with('[') { "" } else { "." };
    format!("{first}{dot}{path}")
}

fn duplicate_name<'a>(fields: &'a [(Cow<str>, Json)]) -> Option<&'a str> {
    if fields.len() > MAX_PAIRWISE_FIELDS {
        let mut seen = HashSet::with_capacity(fields.len());
        return fields.iter().map(|(name, _)| name.as_ref()).find(|name| !seen.insert(*name));
    }
    let occurs_before = |at: usize, name: &str| fields[..at].iter().any(|(earlier, _)| earlier == name);
    let found = fields.iter().enumerate().find(|(at, (name, _))| occurs_before(*at, name));
    found.map(|(_, (name, _))| name.as_ref())
}
