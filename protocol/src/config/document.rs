//! A configuration as text and as a value that always agree: the form in which it is checked, stored and delivered.

use super::apply::{self, Patched};
use super::bounds::MAX_TEXT_BYTES;
use super::decode::{self, Strictness};
use super::error::{ConfigError, ConfigErrorKind, Item};
use super::model::Config;
use super::patch::ConfigPatch;
use super::{check, json};

/// A configuration as text and as a value. Invariants: `config` is the decoded `text`; a document returned by
/// [`parse`](ConfigDocument::parse) or [`apply`](ConfigDocument::apply) has passed every check.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigDocument {
    text: String,
    config: Config,
}

impl ConfigDocument {
    /// Parses and checks a whole configuration from an operator.
    ///
    /// # Errors
    ///
    /// If the text is too long, not strict JSON, or not a valid configuration; the error names the item.
    pub fn parse(text: &str) -> Result<ConfigDocument, ConfigError> {
        check_length(text)?;
        let config = decode::config(&json::parse(text)?, Strictness::Operator)?;
        check::config(&config)?;
        Ok(ConfigDocument { text: text.into(), config })
    }

    /// Parses a committed configuration, which an earlier version with fewer checks may have accepted. It is in force,
    /// so only its structure is checked. Text after the JSON value is ignored, as it never had an effect.
    ///
    /// # Errors
    ///
    /// If the text does not begin with a JSON object that has the structure of a configuration.
    pub fn parse_committed(text: &str) -> Result<ConfigDocument, ConfigError> {
        let config = decode::config(&json::parse_lenient(text)?, Strictness::Committed)?;
        Ok(ConfigDocument { text: text.into(), config })
    }

    /// Returns this configuration with a patch applied.
    ///
    /// # Errors
    ///
    /// If the patch does not apply to this configuration, or if the result is too long or invalid.
    pub fn apply(&self, patch: &ConfigPatch) -> Result<ConfigDocument, ConfigError> {
        let next = self.apply_committed(patch)?;
        check_length(&next.text)?;
        check::config(&next.config)?;
        Ok(next)
    }

    /// Returns this configuration with a committed patch applied. The result was checked before the commit.
    ///
    /// # Errors
    ///
    /// If the patch does not apply to this configuration.
    pub fn apply_committed(&self, patch: &ConfigPatch) -> Result<ConfigDocument, ConfigError> {
        let Patched { text, config } = apply::apply(&self.text, &self.config, patch)?;
        Ok(ConfigDocument { text, config })
    }

    /// Returns the text as the operator sent it, or as the last patch produced it.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the typed value.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the typed value and drops the text.
    pub fn into_config(self) -> Config {
        self.config
    }

    /// Returns the revision.
    pub fn revision(&self) -> u64 {
        self.config.revision
    }
}

fn check_length(text: &str) -> Result<(), ConfigError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(ConfigError { item: Item::Body, kind: ConfigErrorKind::TooLong { bytes: text.len() } });
    }
    Ok(())
}
