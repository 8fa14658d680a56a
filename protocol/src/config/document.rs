//! A configuration as text and as a value, which always agree: the one form in which it is checked, stored and delivered.

use super::apply::{self, Patched};
use super::bounds::MAX_TEXT_BYTES;
use super::decode::{self, Strictness};
use super::error::{ConfigError, ConfigErrorKind, Item};
use super::model::Config;
use super::patch::ConfigPatch;
use super::{check, json};

/// A configuration as text and as a value. Invariants: `config` is what `text` says; a document made by
/// [`parse`](ConfigDocument::parse) or [`apply`](ConfigDocument::apply) passed every check.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigDocument {
    text: String,
    config: Config,
}

impl ConfigDocument {
    /// Parses and checks a whole configuration as an operator sends it.
    ///
    /// # Errors
    ///
    /// When the text is too long, no strict JSON, or no valid configuration; the error names the item.
    pub fn parse(text: &str) -> Result<ConfigDocument, ConfigError> {
        check_length(text)?;
        let config = decode::config(&json::parse(text)?, Strictness::Operator)?;
        check::config(&config)?;
        Ok(ConfigDocument { text: text.into(), config })
    }

    /// Parses a committed configuration, maybe of an earlier version that checked less. It is in force, so only its form
    /// is checked; what stands behind its end was never served, and is ignored.
    ///
    /// # Errors
    ///
    /// When the text does not begin with a JSON object of the form of a configuration.
    pub fn parse_committed(text: &str) -> Result<ConfigDocument, ConfigError> {
        let config = decode::config(&json::parse_loosely(text)?, Strictness::Committed)?;
        Ok(ConfigDocument { text: text.into(), config })
    }

    /// Returns this configuration with a patch applied.
    ///
    /// # Errors
    ///
    /// When the patch does not fit this configuration, or when its result is too long or invalid.
    pub fn apply(&self, patch: &ConfigPatch) -> Result<ConfigDocument, ConfigError> {
        let next = self.apply_committed(patch)?;
        check_length(&next.text)?;
        check::config(&next.config)?;
        Ok(next)
    }

    /// Returns this configuration with a patch applied that was checked before it was committed.
    ///
    /// # Errors
    ///
    /// When the patch does not fit this configuration.
    pub fn apply_committed(&self, patch: &ConfigPatch) -> Result<ConfigDocument, ConfigError> {
        let Patched { text, config } = apply::apply(&self.text, &self.config, patch)?;
        Ok(ConfigDocument { text, config })
    }

    /// Returns the text as it was sent, or as a patch left it.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the value.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the value without the text.
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
