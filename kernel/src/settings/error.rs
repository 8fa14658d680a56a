//! What is wrong with a settings file.

use std::error;

use error_stack::Report;

/// What stops a start: the field, what stood there, what is allowed.
#[derive(Debug, PartialEq)]
pub struct SettingsError {
    pub field: String,
    pub found: String,
    pub allowed: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(out, "settings: field `{}`: found {}, allowed: {}", self.field, self.found, self.allowed)
    }
}

impl error::Error for SettingsError {}

pub(super) fn bad(field: &str, found: impl std::fmt::Display, allowed: &str) -> Report<SettingsError> {
    Report::new(SettingsError { field: field.into(), found: found.to_string(), allowed: allowed.into() })
}
