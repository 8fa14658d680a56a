//! Reads and parses a settings file.

use std::{env, fs};

use error_stack::Report;
use toml::{de, Deserializer};

use super::validation::validate;
use super::{Settings, SettingsError};

const PATH_VARIABLE: &str = "TIDEPOINT_CONFIG";
const DEFAULT_PATH: &str = "/etc/tidepoint/settings.toml";

/// Returns the path of the settings file: the value of `TIDEPOINT_CONFIG`, or the default path if it is not set.
pub fn path() -> String {
    env::var(PATH_VARIABLE).unwrap_or_else(|_| DEFAULT_PATH.into())
}

/// Reads, parses and validates a settings file.
///
/// # Errors
///
/// Names the file if it can't be read; otherwise as [`parse`].
pub fn load(path: &str) -> Result<Settings, Report<SettingsError>> {
    let text = fs::read_to_string(path)
        .map_err(|error| SettingsError::report("(file)", format!("{path}: {error}"), "a readable file"))?;
    parse(&text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Names the first field that is missing, of the wrong type or invalid, with the value found and the values allowed.
pub fn parse(text: &str) -> Result<Settings, Report<SettingsError>> {
    let source = Deserializer::new(text);
    let settings: Settings =
        serde_path_to_error::deserialize(source).map_err(|error| deserialization_error(text, &error))?;
    validate(&settings)?;
    Ok(settings)
}

/// Converts a deserialization error. Its path names the field; for a missing field, the message adds the name.
fn deserialization_error(text: &str, error: &serde_path_to_error::Error<de::Error>) -> Report<SettingsError> {
    let cause = error.inner();
    let missing = cause.message().strip_prefix("missing field `").and_then(|rest| rest.split('`').next());
    let path = Some(error.path().to_string()).filter(|path| path != "." && path != "?");
    let field = match (path, missing) {
        (Some(path), Some(missing)) => format!("{path}.{missing}"),
        (None, Some(missing)) => missing.into(),
        (Some(path), None) => path,
        (None, None) => "(text)".into(),
    };
    let source_text = cause.span().map_or("", |span| text.get(span).unwrap_or(""));
    let found = format!("{} ({})", source_text.trim(), cause.message());
    SettingsError::report(&field, found, "the type and value that the deployment page lists for it")
}
