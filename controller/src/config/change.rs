//! Decides what an operator's change of the configuration leads to on top of the committed one. Nothing here waits or
//! sends.

use std::fmt;
use std::sync::Arc;

use protocol::config::{ConfigDocument, ConfigError, ConfigPatch};
use protocol::operator_request::ConfigChange;

use crate::config::body::{BodyFormat, ChangeStatus, StoredConfig};

/// Why a change is rejected for good.
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
    /// The change, or the configuration that it leads to, is invalid.
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

/// The value to be committed and the configuration in it. Invariant: the text of `stored` is that of `config`.
#[derive(Clone, Debug)]
pub struct PreparedChange {
    /// What is written to the register.
    pub stored: StoredConfig,
    /// The configuration in `stored`, already checked.
    pub config: Arc<ConfigDocument>,
}

/// What is to be done about a change that is not rejected.
#[derive(Clone, Debug)]
pub enum ChangeDecision {
    /// The change is in force, or was until a later one: its sender repeats it after a lost response.
    AlreadyCommitted,
    /// It is not known here whether the change was committed, or could be.
    OutcomeUnknown,
    /// The change is to be committed.
    Commit(PreparedChange),
}

/// The parsed text of a change.
enum ChangeContent {
    FullConfig(Arc<ConfigDocument>),
    Patch(ConfigPatch),
}

/// A change whose text was parsed once, whether or not it is valid.
pub struct ParsedChange<'a> {
    change: &'a ConfigChange,
    content: Result<ChangeContent, ConfigError>,
}

impl ParsedChange<'_> {
    /// Parses the text of a change. An error in it is kept until [`ParsedChange::decide`], which first recognizes
    /// changes that are committed already.
    pub fn parse(change: &ConfigChange) -> ParsedChange<'_> {
        let content = match change.partial {
            true => ConfigPatch::parse(&change.text).map(ChangeContent::Patch),
            false => ConfigDocument::parse(&change.text).map(|config| ChangeContent::FullConfig(Arc::new(config))),
        };
        ParsedChange { change, content }
    }

    /// Decides about the change on top of the committed value. `known` may be the configuration in `stored`, already
    /// checked.
    ///
    /// # Errors
    ///
    /// Returns why the change is rejected; the same change is rejected again whenever it comes.
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
        let Some(config) = self.config_on(stored, known)? else { return Ok(ChangeDecision::OutcomeUnknown) };
        if config.revision() <= stored.revision {
            return Err(ConfigChangeError::RevisionNotNewer { found: config.revision(), current: stored.revision });
        }
        Ok(ChangeDecision::Commit(prepare(self.change, stored, config, format)))
    }

    /// Returns the configuration after the change. `None`: the committed one cannot be read.
    fn config_on(
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
                let patched = with_committed(stored, known, |base| base.apply(patch)).transpose();
                Ok(patched.map_err(ConfigChangeError::Invalid)?.map(Arc::new))
            }
        }
    }
}

/// Passes the committed configuration to `act`. `None`: it cannot be read.
fn with_committed<T>(
    stored: &StoredConfig,
    known: Option<&ConfigDocument>,
    act: impl FnOnce(&ConfigDocument) -> T,
) -> Option<T> {
    match known.filter(|known| known.text() == stored.text) {
        Some(known) => Some(act(known)),
        None => ConfigDocument::parse_committed(&stored.text).ok().map(|base| act(&base)),
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

/// Makes a change that is known to be committed on top of `stored`, without checking it again. Returns `None` if it does
/// not lead to `revision` here.
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
            with_committed(stored, known, |base| base.apply_committed(&patch))?
        }
        false => ConfigDocument::parse_committed(&change.text),
    };
    let config = config.ok().filter(|config| config.revision() == revision)?;
    Some(prepare(change, stored, Arc::new(config), format))
}

#[cfg(test)]
#[path = "change_tests.rs"]
mod tests;
