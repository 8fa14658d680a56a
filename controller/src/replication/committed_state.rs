//! The committed control state: the values of its keys, decoded from the committed entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::{fmt, mem};

use consensus::MEMBERSHIP_KEY;
use protocol::config::{ConfigDocument, ConfigError};
use protocol::message::{Entry, Position, StalenessLimit, STALENESS_LIMIT_PREFIX};
use protocol::stable_version::{self, version_in_force, StableVersion};
use protocol::version_rollout::{VersionRollout, KEY_PREFIX};
use rkyv::{Archive, Deserialize, Serialize};

use crate::config::body::StoredConfig;
use crate::config::history::{ConfigHistory, RevisionNotNewer};
use crate::controller::CONFIRMATION_TTL_MS;

/// The value of a zone's evacuation key. The stored bytes depend on the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// Increases with each change.
    pub version: u64,
    /// Whether the zone is being evacuated.
    pub evacuated: bool,
}

/// The value of a singleton role's key. The stored bytes depend on the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RoleState {
    /// The fencing token, which increases with each acquisition.
    pub epoch: u64,
    /// The address of the controller that owns the role, empty if nobody has owned it yet.
    pub owner: String,
    /// Whether the owner has waited until no earlier owner can act any more. It declares so before its first action.
    pub predecessor_expired: bool,
}

/// The key of the configuration.
pub const CONFIG_KEY: &str = "config";
/// The prefix of evacuation keys; the zone follows.
pub const EVACUATION_PREFIX: &str = "evacuation/";
/// The prefix of the keys of singleton roles.
pub const ROLE_PREFIX: &str = "duty/";

kernel::impl_archive_bytes!(EvacuationRecord);
kernel::impl_archive_bytes!(RoleState);

pub use consensus::{decode_membership, encode_membership};

/// Implements `open`, which decodes the body of an entry.
macro_rules! open {
    ($kind:ty) => {
        impl $kind {
            /// Decodes a body. An empty body is the default value. Returns `None` for a body of an unknown format,
            /// which must not be treated as an empty one.
            pub fn open(body: &[u8]) -> Option<Self> {
                match body.is_empty() {
                    true => Some(Self::default()),
                    false => Self::from_bytes(body),
                }
            }
        }
    };
}

open!(EvacuationRecord);
open!(RoleState);

/// The reason why a committed entry cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The body has a format that this version does not support.
    Body,
    /// The text of the configuration is not valid.
    Text(ConfigError),
    /// The revision in the body differs from the one in the configuration's text.
    Revision {
        /// The revision in the body.
        declared: u64,
        /// The revision in the text.
        found: u64,
    },
    /// The revision is not newer than the one in force.
    NotNewer(RevisionNotNewer),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unreadable::Body => out.write_str("unknown body format"),
            Unreadable::Text(error) => error.fmt(out),
            Unreadable::Revision { declared, found } => {
                write!(out, "revision mismatch: {declared} in the body, {found} in the text")
            }
            Unreadable::NotNewer(error) => {
                write!(out, "revision {} is not newer than the known revision {}", error.found, error.current)
            }
        }
    }
}

/// The result of learning a committed entry.
#[derive(Debug, PartialEq, Eq)]
pub enum Learned {
    /// This entry or a newer one was already known.
    AlreadyKnown,
    /// The body is unchanged; it was committed again at a newer position.
    Recommitted,
    /// The entry is new and was applied.
    New {
        /// The revision of the configuration in force.
        revision: u64,
    },
    /// The entry could not be applied. The key keeps its previous value and position.
    Unreadable {
        /// The reason.
        error: Unreadable,
        /// Whether this entry is reported for the first time.
        first: bool,
    },
}

/// The committed state as far as this controller knows it. Invariant: the position of an entry never goes back.
#[derive(Default)]
pub struct CommittedState {
    /// The newest known committed entry of each key.
    pub entries: BTreeMap<String, Entry>,
    /// When the read began that last confirmed these entries at a quorum, in milliseconds of the steady clock. `None`
    /// before the first confirmation.
    pub confirmed_at: Option<u64>,
    /// The highest term seen in any proposal number.
    pub highest_term: u64,
    /// The configuration of the `config` entry, parsed, with the updates that are sent to routers.
    pub history: ConfigHistory,
    /// The position of the last committed entry that could not be read. Its key stays at the previous entry, so the
    /// state does not count as confirmed until a newer entry can be read.
    pub unreadable: Option<Position>,
    /// The evacuations by zone, including ended ones.
    pub evacuations: BTreeMap<String, EvacuationRecord>,
    /// The staleness limits by key. Removed ones are kept, since their versions must not start over.
    pub staleness_limits: BTreeMap<String, StalenessLimit>,
    /// The newest rollout of each service.
    pub version_rollouts: BTreeMap<String, VersionRollout>,
    /// The recorded version of each service.
    pub stable_versions: BTreeMap<String, StableVersion>,
    /// The singleton roles by key.
    pub roles: BTreeMap<String, RoleState>,
}

impl CommittedState {
    /// Returns whether the last confirmation is still valid at `now`.
    pub fn is_confirmed(&self, now: u64) -> bool {
        self.confirmed_at.is_some_and(|time| now < time + CONFIRMATION_TTL_MS)
    }

    /// Returns the version that gets a service's requests, or `None` if it is not known.
    pub fn version_in_force(&self, service: &str) -> Option<&str> {
        version_in_force(self.stable_versions.get(service), self.version_rollouts.get(service))
    }

    /// Applies a committed entry if it is newer than the known one. `parsed` is the configuration in it, if it is
    /// already parsed.
    pub fn learn(&mut self, key: &str, entry: &Entry, parsed: Option<Arc<ConfigDocument>>) -> Learned {
        self.highest_term = self.highest_term.max(entry.proposal_number.term);
        let known = self.entries.get(key);
        if known.is_some_and(|known| known.position() >= entry.position()) {
            return Learned::AlreadyKnown;
        }
        let unchanged = known.is_some_and(|known| known.body == entry.body);
        if !unchanged {
            if let Err(error) = self.apply(key, &entry.body, parsed) {
                let position = Some(entry.position());
                let first = mem::replace(&mut self.unreadable, position) != position;
                return Learned::Unreadable { error, first };
            }
        }
        self.entries.insert(key.into(), entry.clone());
        match unchanged {
            true => Learned::Recommitted,
            false => Learned::New { revision: self.history.revision() },
        }
    }

    fn apply(&mut self, key: &str, body: &[u8], parsed: Option<Arc<ConfigDocument>>) -> Result<(), Unreadable> {
        if key == CONFIG_KEY {
            return self.apply_config(body, parsed);
        }
        if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
            let evacuation = EvacuationRecord::open(body).ok_or(Unreadable::Body)?;
            self.evacuations.insert(zone.into(), evacuation);
        }
        if key.starts_with(STALENESS_LIMIT_PREFIX) && !body.is_empty() {
            let limit = StalenessLimit::from_bytes(body).ok_or(Unreadable::Body)?;
            self.staleness_limits.insert(key.into(), limit);
        }
        if let Some(service) = key.strip_prefix(KEY_PREFIX).filter(|_| !body.is_empty()) {
            let rollout = VersionRollout::from_bytes(body).ok_or(Unreadable::Body)?;
            self.version_rollouts.insert(service.into(), rollout);
        }
        if let Some(service) = key.strip_prefix(stable_version::KEY_PREFIX).filter(|_| !body.is_empty()) {
            let version = StableVersion::from_bytes(body).ok_or(Unreadable::Body)?;
            self.stable_versions.insert(service.into(), version);
        }
        if key.starts_with(ROLE_PREFIX) {
            let role = RoleState::open(body).ok_or(Unreadable::Body)?;
            self.roles.insert(key.into(), role);
        }
        if key == MEMBERSHIP_KEY && !body.is_empty() {
            decode_membership(body).ok_or(Unreadable::Body)?;
        }
        Ok(())
    }

    fn apply_config(&mut self, body: &[u8], parsed: Option<Arc<ConfigDocument>>) -> Result<(), Unreadable> {
        if body.is_empty() && self.history.revision() == 0 {
            return Ok(());
        }
        let config = match parsed {
            Some(parsed) => parsed,
            None => Arc::new(read_config(body)?),
        };
        self.history.advance(config).map_err(Unreadable::NotNewer)
    }
}

/// Decodes and parses the body of a committed configuration.
fn read_config(body: &[u8]) -> Result<ConfigDocument, Unreadable> {
    let stored = StoredConfig::decode(body).ok_or(Unreadable::Body)?;
    let config = ConfigDocument::parse_committed(&stored.text).map_err(Unreadable::Text)?;
    match config.revision() == stored.revision {
        true => Ok(config),
        false => Err(Unreadable::Revision { declared: stored.revision, found: config.revision() }),
    }
}

#[cfg(test)]
#[path = "committed_state_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "stored_by_5_tests.rs"]
mod stored_by_5_tests;
