//! Reading a settings file.

use std::{env, fs};

use error_stack::Report;
use toml::{de, Deserializer};

use super::validation::validate;
use super::{Settings, SettingsError};

const PATH_VARIABLE: &str = "TIDEPOINT_CONFIG";
const DEFAULT_PATH: &str = "/etc/tidepoint/settings.toml";

/// Returns the path in `TIDEPOINT_CONFIG`, or else the default path.
pub fn path() -> String {
    env::var(PATH_VARIABLE).unwrap_or_else(|_| DEFAULT_PATH.into())
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Names the file if it can't be read, and else as [`parse`].
pub fn load(path: &str) -> Result<Settings, Report<SettingsError>> {
    let text = fs::read_to_string(path)
        .map_err(|error| SettingsError::report("(file)", format!("{path}: {error}"), "a readable file"))?;
    parse(&text)
}

/// Reads and checks a settings text.
///
/// # Errors
///
/// Names the first field that is missing, of the wrong type or not valid, with what stands there and what may.
pub fn parse(text: &str) -> Result<Settings, Report<SettingsError>> {
    let source = Deserializer::new(text);
    let settings: Settings =
        serde_path_to_error::deserialize(source).map_err(|error| deserialization_error(text, &error))?;
    validate(&settings)?;
    Ok(settings)
}

/// Names the field of an error by its path: a missing one by the name that the error gives.
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
    let line = cause.span().map_or("", |span| text.get(span).unwrap_or(""));
    let found = format!("{} ({})", line.trim(), cause.message());
    SettingsError::report(&field, found, "as the deployment page lists it")
}
