//! A configuration as text and as a value, which always agree: the one form in which it is judged, stored and delivered.

use super::decode::{self, Strictness};
use super::error::{ConfigError, ConfigErrorKind, Item};
use super::model::Config;
use super::patch::Patch;
use super::{apply, check, json, LONGEST_TEXT};

/// Invariants: `config` is what `text` says, both come from one reading; a value made by `read` or `patched` passed
/// every check.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    text: String,
    config: Config,
}

impl Checked {
    /// Reads a whole configuration as an operator sends it.
    pub fn read(text: &str) -> Result<Checked, ConfigError> {
        bounded(text)?;
        let config = decode::config(&json::parse(text)?, Strictness::Operator)?;
        check::config(&config)?;
        Ok(Checked { text: text.into(), config })
    }

    /// Reads one that was committed, maybe by an earlier version that checked less: it is in force, so it is held to its
    /// form only. What stands behind its end was never served, and is passed over.
    pub fn read_committed(text: &str) -> Result<Checked, ConfigError> {
        let config = decode::config(&json::parse_loosely(text)?, Strictness::Committed)?;
        Ok(Checked { text: text.into(), config })
    }

    /// With a change of named items made, and checked.
    pub fn patched(&self, patch: &Patch) -> Result<Checked, ConfigError> {
        let next = apply::apply(self, patch)?;
        bounded(&next.text)?;
        check::config(&next.config)?;
        Ok(next)
    }

    /// With a change made that was checked before it was committed.
    pub fn patched_again(&self, patch: &Patch) -> Result<Checked, ConfigError> {
        apply::apply(self, patch)
    }

    /// The caller made both of the same parts.
    pub(super) fn together(text: String, config: Config) -> Checked {
        Checked { text, config }
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

fn bounded(text: &str) -> Result<(), ConfigError> {
    if text.len() > LONGEST_TEXT {
        return Err(ConfigError { item: Item::Body, flaw: ConfigErrorKind::TooLong { bytes: text.len() } });
    }
    Ok(())
}
