//! Validates an operator's change against the committed configuration and prepares the next value. Pure logic without
//! I/O.

use std::fmt;
use std::sync::Arc;

use protocol::config::{ConfigDocument, ConfigError, ConfigPatch};
use protocol::operator_request::ConfigChange;

use crate::config::body::{BodyFormat, ChangeStatus, StoredConfig};

/// Why a change is permanently rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChangeError {
    /// The change builds on the revision `base`, but `current` is committed.
    Conflict {
        /// The revision that the change was made on top of.
        base: u64,
        /// The committed revision.
        current: u64,
    },
    /// The revision of the change is not above the committed one.
    RevisionNotNewer {
        /// The revision of the change.
        found: u64,
        /// The committed revision.
        current: u64,
    },
    /// The change or the resulting configuration is invalid.
    Invalid(ConfigError),
}

impl ConfigChangeError {
    /// Returns the HTTP status with which the change is rejected.
    pub fn status(&self) -> u16 {
        match self {
            ConfigChangeError::Conflict { .. } => 412,
            ConfigChangeError::RevisionNotNewer { .. } => 400,
            ConfigChangeError::Invalid(error) => error.status(),
        }
    }
}

impl fmt::Display for ConfigChangeError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigChangeError::Conflict { base, current } => {
                write!(out, "If-Match: found {base}, version {current} is current")
            }
            ConfigChangeError::RevisionNotNewer { found, current } => {
                write!(out, "revision: found {found}, must be above {current}")
            }
            ConfigChangeError::Invalid(error) => error.fmt(out),
        }
    }
}

/// The value to commit and its configuration. Invariant: the text of `stored` is that of `config`.
#[derive(Clone, Debug)]
pub struct PreparedChange {
    /// The value to write to the register.
    pub stored: StoredConfig,
    /// The configuration in `stored`, already validated.
    pub config: Arc<ConfigDocument>,
}

/// What to do about a change that is not rejected.
#[derive(Clone, Debug)]
pub enum ChangeDecision {
    /// The change is committed, perhaps with later ones on top: its sender retries it after a lost response.
    AlreadyCommitted,
    /// This controller cannot tell whether the change was committed or is applicable.
    OutcomeUnknown,
    /// Commit the change.
    Commit(PreparedChange),
}

/// The parsed text of a change.
enum ChangeContent {
    FullConfig(Arc<ConfigDocument>),
    Patch(ConfigPatch),
}

/// A change whose text was parsed once; the text may be invalid.
pub struct ParsedChange<'a> {
    change: &'a ConfigChange,
    content: Result<ChangeContent, ConfigError>,
}

impl ParsedChange<'_> {
    /// Parses the text of a change. A parse error is reported only by [`ParsedChange::decide`], after it has checked
    /// whether the change is already committed.
    pub fn parse(change: &ConfigChange) -> ParsedChange<'_> {
        let content = match change.partial {
            true => ConfigPatch::parse(&change.text).map(ChangeContent::Patch),
            false => ConfigDocument::parse(&change.text).map(|config| ChangeContent::FullConfig(Arc::new(config))),
        };
        ParsedChange { change, content }
    }

    /// Decides what to do about the change on top of the committed value. `known` is a configuration that is already
    /// parsed; it is used if it is the one in `stored`.
    ///
    /// # Errors
    ///
    /// Returns why the change is rejected; a retry of the same change is rejected too.
    pub fn decide(
        &self,
        stored: &StoredConfig,
        known: Option<&ConfigDocument>,
        format: BodyFormat,
    ) -> Result<ChangeDecision, ConfigChangeError> {
        match stored.status_of(self.change) {
            ChangeStatus::Committed => return Ok(ChangeDecision::AlreadyCommitted),
            ChangeStatus::Forgotten => return Ok(ChangeDecision::OutcomeUnknown),
            ChangeStatus::NotCommitted => {}
        }
        if self.change.base != stored.revision {
            return Err(ConfigChangeError::Conflict { base: self.change.base, current: stored.revision });
        }
        let Some(config) = self.resulting_config(stored, known)? else { return Ok(ChangeDecision::OutcomeUnknown) };
        if config.revision() <= stored.revision {
            return Err(ConfigChangeError::RevisionNotNewer { found: config.revision(), current: stored.revision });
        }
        Ok(ChangeDecision::Commit(prepare(self.change, stored, config, format)))
    }

    /// Returns the configuration after the change, or `None` if the committed one cannot be parsed.
    fn resulting_config(
        &self,
        stored: &StoredConfig,
        known: Option<&ConfigDocument>,
    ) -> Result<Option<Arc<ConfigDocument>>, ConfigChangeError> {
        match &self.content {
            Err(error) => Err(ConfigChangeError::Invalid(error.clone())),
            Ok(ChangeContent::FullConfig(config)) => Ok(Some(config.clone())),
            Ok(ChangeContent::Patch(_)) if stored.revision == 0 => {
                Err(ConfigChangeError::Invalid(ConfigError::no_base_config()))
            }
            Ok(ChangeContent::Patch(patch)) => {
                let patched = with_committed_config(stored, known, |base| base.apply(patch)).transpose();
                Ok(patched.map_err(ConfigChangeError::Invalid)?.map(Arc::new))
            }
        }
    }
}

/// Passes the committed configuration to `apply`. Returns `None` if it cannot be parsed.
fn with_committed_config<T>(
    stored: &StoredConfig,
    known: Option<&ConfigDocument>,
    apply: impl FnOnce(&ConfigDocument) -> T,
) -> Option<T> {
    match known.filter(|known| known.text() == stored.text) {
        Some(known) => Some(apply(known)),
        None => ConfigDocument::parse_committed(&stored.text).ok().map(|base| apply(&base)),
    }
}

fn prepare(
    change: &ConfigChange,
    stored: &StoredConfig,
    config: Arc<ConfigDocument>,
    format: BodyFormat,
) -> PreparedChange {
    let mut next = StoredConfig { revision: config.revision(), text: config.text().into(), ..stored.clone() };
    next.remember(change, format);
    PreparedChange { stored: next, config }
}

/// Applies a change that is known to be committed to `stored`, without validating it again. Returns `None` if the
/// result does not have the revision `revision`.
pub fn reapply(
    change: &ConfigChange,
    revision: u64,
    stored: &StoredConfig,
    known: Option<&ConfigDocument>,
    format: BodyFormat,
) -> Option<PreparedChange> {
    let config = match change.partial {
        true => {
            let patch = ConfigPatch::parse(&change.text).ok()?;
            with_committed_config(stored, known, |base| base.apply_committed(&patch))?
        }
        false => ConfigDocument::parse_committed(&change.text),
    };
    let config = config.ok().filter(|config| config.revision() == revision)?;
    Some(prepare(change, stored, Arc::new(config), format))
}

#[cfg(test)]
#[path = "change_tests.rs"]
mod tests;
