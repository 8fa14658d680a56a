//! A configuration as text and as a value, which always agree: the one form in which it is judged, stored and delivered.

use super::apply::{self, Patched};
use super::bounds::MAX_TEXT_BYTES;
use super::decode::{self, Strictness};
use super::error::{ConfigError, ConfigErrorKind, Item};
use super::model::Config;
use super::patch::ConfigPatch;
use super::{check, json};

/// Invariants: `config` is what `text` says, both come from one reading; a value made by `read` or `patched` passed
/// every check.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigDocument {
    text: String,
    config: Config,
}

impl ConfigDocument {
    /// Reads a whole configuration as an operator sends it.
    pub fn parse(text: &str) -> Result<ConfigDocument, ConfigError> {
        check_length(text)?;
        let config = decode::config(&json::parse(text)?, Strictness::Operator)?;
        check::config(&config)?;
        Ok(ConfigDocument { text: text.into(), config })
    }

    /// Reads one that was committed, maybe by an earlier version that checked less: it is in force, so it is held to its
    /// form only. What stands behind its end was never served, and is passed over.
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

    pub fn text(&self) -> &str {
        &self.text
    }

    pub fn config(&self) -> &Config {
        &self.config
    }

    pub fn into_config(self) -> Config {
        self.config
    }

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
