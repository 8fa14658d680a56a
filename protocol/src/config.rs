//! The operator's configuration: parsed and checked once into the typed value that is stored and delivered.
//!
//! `json` is a strict JSON parser, `decode` and `values` turn JSON into the types of `model`, and `check` validates a
//! configuration as a whole. `patch` parses a change of named items, and `apply` applies it to both the text and the
//! value of a configuration. `ConfigDocument` holds the text and the value together.

mod apply;
mod bounds;
mod check;
mod decode;
mod document;
mod error;
mod field_names;
mod host;
mod json;
mod merge;
mod model;
mod patch;
mod values;

pub use bounds::MAX_TEXT_BYTES;
pub use document::ConfigDocument;
pub use error::{ConfigError, ConfigErrorKind, Item, Syntax};
pub use host::without_port;
pub use model::{targets, Config, Engine, Limits, Model, Route, Service, Split, Tenant};
pub use patch::ConfigPatch;

/// Parses and checks a whole configuration from an operator.
///
/// # Errors
///
/// See [`ConfigDocument::parse`].
pub fn read(text: &str) -> Result<Config, ConfigError> {
    ConfigDocument::parse(text).map(ConfigDocument::into_config)
}

#[cfg(test)]
mod document_tests;
#[cfg(test)]
mod json_tests;
#[cfg(test)]
mod patch_tests;
#[cfg(test)]
mod property_tests;
