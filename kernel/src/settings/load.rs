//! Reading a settings file.

use std::{env, fs};

use error_stack::Report;
use toml::{de, Deserializer};

use super::error::bad;
use super::validation::check;
use super::{Settings, SettingsError};

/// The path from TIDEPOINT_CONFIG, or the usual place.
pub fn path() -> String {
    env::var("TIDEPOINT_CONFIG").unwrap_or_else(|_| "/etc/tidepoint/settings.toml".into())
}

pub fn load(path: &str) -> Result<Settings, Report<SettingsError>> {
    let text =
        fs::read_to_string(path).map_err(|error| bad("(file)", format!("{path}: {error}"), "a readable file"))?;
    parse(&text)
}

/// Reads and checks a settings text.
pub fn parse(text: &str) -> Result<Settings, Report<SettingsError>> {
    let source = Deserializer::new(text);
    let settings: Settings = serde_path_to_error::deserialize(source).map_err(|error| unreadable(text, &error))?;
    check(&settings)?;
    Ok(settings)
}

/// Names the field of an error by its path: a missing one by the name that the error gives.
fn unreadable(text: &str, error: &serde_path_to_error::Error<de::Error>) -> Report<SettingsError> {
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
    bad(&field, format!("{} ({})", line.trim(), cause.message()), "as the deployment page lists it")
}
