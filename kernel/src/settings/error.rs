//! The error of a settings file.

use std::{error, fmt};

use error_stack::Report;

/// An invalid or missing field of the settings, which keeps a daemon from starting.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// The path of the field.
    pub field: String,
    /// The value found.
    pub found: String,
    /// The values allowed.
    pub allowed: String,
}

impl SettingsError {
    pub(super) fn report(field: &str, found: impl fmt::Display, allowed: &str) -> Report<SettingsError> {
        Report::new(SettingsError { field: field.into(), found: found.to_string(), allowed: allowed.into() })
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "settings: field `{}`: found {}, allowed: {}", self.field, self.found, self.allowed)
    }
}

impl error::Error for SettingsError {}
