//! The operator's configuration: parsed once into a typed and checked value, which is what is stored and delivered.
//!
//! `json` parses strictly, `decode` and `values` turn JSON into the types of `model`, and `check` applies the rules for
//! configurations. `patch` parses a change of named items and `apply` applies it to text and value. `ConfigDocument`
//! keeps the two together.

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

/// Parses and checks a whole configuration as an operator sends it.
///
/// # Errors
///
/// As [`ConfigDocument::parse`].
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
