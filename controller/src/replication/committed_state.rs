//! What the keys of the control state hold, and how it is read from what was committed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::{fmt, mem};

use consensus::MEMBERSHIP_KEY;
use protocol::config::{ConfigDocument, ConfigError};
use protocol::message::{Entry, Position, StalenessLimit, STALENESS_LIMIT_PREFIX};
use protocol::version_rollout::{VersionRollout, KEY_PREFIX};
use rkyv::{Archive, Deserialize, Serialize};

use crate::config::body::StoredConfig;
use crate::config::history::{ConfigHistory, RevisionNotNewer};
use crate::controller::CONFIRMATION_TTL_MS;

/// What the key of a zone's evacuation holds. The stored bytes depend on the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// Rises with each change.
    pub version: u64,
    /// Whether the zone is being evacuated.
    pub evacuated: bool,
}

/// What the key of a singleton role holds. The stored bytes depend on the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RoleState {
    /// The fencing token: rises with each acquisition.
    pub epoch: u64,
    /// The address of the controller that owns the role; empty: nobody yet.
    pub owner: String,
    /// The owner has waited until no earlier owner can still act, and declared so before its first act.
    pub predecessor_expired: bool,
}

/// The key of the configuration.
pub const CONFIG_KEY: &str = "config";
/// The keys of evacuations, with the zone behind it.
pub const EVACUATION_PREFIX: &str = "evacuation/";
/// The keys of singleton roles.
pub const ROLE_PREFIX: &str = "duty/";

kernel::impl_archive_bytes!(EvacuationRecord);
kernel::impl_archive_bytes!(RoleState);

pub use consensus::{decode_membership, encode_membership};

/// Implements `open`, which reads the value in a body.
macro_rules! open {
    ($kind:ty) => {
        impl $kind {
            /// Returns the value in a body, the default one where the body is empty. None: the body is of another form, which
            /// is never taken for an empty one.
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

/// Why a committed entry cannot be taken for what a key holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The body is of no form that this version knows.
    Body,
    /// The text of the configuration is not valid.
    Text(ConfigError),
    /// The body declares another revision than its text.
    Revision {
        /// The revision in the body.
        declared: u64,
        /// The revision in the text.
        found: u64,
    },
    /// It would lead back from what is known.
    NotNewer(RevisionNotNewer),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unreadable::Body => out.write_str("a body of an unknown form"),
            Unreadable::Text(error) => error.fmt(out),
            Unreadable::Revision { declared, found } => {
                write!(out, "revision: {declared} in the record, {found} in the text")
            }
            Unreadable::NotNewer(order) => write!(out, "revision: found {}, {} is known", order.found, order.current),
        }
    }
}

/// What became of a committed entry.
#[derive(Debug, PartialEq, Eq)]
pub enum Learned {
    /// It, or a newer one, was known.
    AlreadyKnown,
    /// The same body, committed again.
    Recommitted,
    /// It is known from now on.
    New {
        /// The revision of the configuration in force.
        revision: u64,
    },
    /// It is not known here: what the key known before is, and its position stays behind. `first`: not reported before.
    Unreadable {
        /// Why.
        error: Unreadable,
        /// Whether this was not reported before.
        first: bool,
    },
}

/// What is known to be committed. Invariant: the position of an entry never goes back.
#[derive(Default)]
pub struct CommittedState {
    /// The newest committed entry that is known of each key.
    pub entries: BTreeMap<String, Entry>,
    /// When the read began that last confirmed these at a majority; None before the first.
    pub confirmed_at: Option<u64>,
    /// The highest term seen in any proposal number.
    pub highest_term: u64,
    /// The configuration in the entry of its key, as a value and as routers take it.
    pub history: ConfigHistory,
    /// The position of a committed entry that could not be read: it is not known here, so nothing newer than what it was
    /// committed on top of counts as confirmed.
    pub unreadable: Option<Position>,
    /// The evacuations by zone, ended ones too.
    pub evacuations: BTreeMap<String, EvacuationRecord>,
    /// Limits on stale weights, removed ones too: their versions must not start anew.
    pub staleness_limits: BTreeMap<String, StalenessLimit>,
    /// The newest rollout of each service.
    pub version_rollouts: BTreeMap<String, VersionRollout>,
    /// The singleton roles by key.
    pub roles: BTreeMap<String, RoleState>,
}

impl CommittedState {
    /// Returns whether the last confirmation still counts.
    pub fn is_confirmed(&self, now: u64) -> bool {
        self.confirmed_at.is_some_and(|time| now < time + CONFIRMATION_TTL_MS)
    }

    /// Takes over an entry that is committed. `read` is the configuration in it, where that was read already.
    pub fn learn(&mut self, key: &str, entry: &Entry, read: Option<Arc<ConfigDocument>>) -> Learned {
        self.highest_term = self.highest_term.max(entry.proposal_number.term);
        let known = self.entries.get(key);
        if known.is_some_and(|known| known.position() >= entry.position()) {
            return Learned::AlreadyKnown;
        }
        let same = known.is_some_and(|known| known.body == entry.body);
        if !same {
            if let Err(error) = self.apply(key, &entry.body, read) {
                let position = Some(entry.position());
                let first = mem::replace(&mut self.unreadable, position) != position;
                return Learned::Unreadable { error, first };
            }
        }
        self.entries.insert(key.into(), entry.clone());
        match same {
            true => Learned::Recommitted,
            false => Learned::New { revision: self.history.revision() },
        }
    }

    fn apply(&mut self, key: &str, body: &[u8], read: Option<Arc<ConfigDocument>>) -> Result<(), Unreadable> {
        if key == CONFIG_KEY {
            return self.apply_config(body, read);
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
        if key.starts_with(ROLE_PREFIX) {
            let role = RoleState::open(body).ok_or(Unreadable::Body)?;
            self.roles.insert(key.into(), role);
        }
        if key == MEMBERSHIP_KEY && !body.is_empty() {
            decode_membership(body).ok_or(Unreadable::Body)?;
        }
        Ok(())
    }

    fn apply_config(&mut self, body: &[u8], read: Option<Arc<ConfigDocument>>) -> Result<(), Unreadable> {
        if body.is_empty() && self.history.revision() == 0 {
            return Ok(());
        }
        let config = match read {
            Some(read) => read,
            None => Arc::new(read_config(body)?),
        };
        self.history.advance(config).map_err(Unreadable::NotNewer)
    }
}

/// Reads a committed configuration.
fn read_config(body: &[u8]) -> Result<ConfigDocument, Unreadable> {
    let known = StoredConfig::decode(body).ok_or(Unreadable::Body)?;
    let checked = ConfigDocument::parse_committed(&known.text).map_err(Unreadable::Text)?;
    match checked.revision() == known.revision {
        true => Ok(checked),
        false => Err(Unreadable::Revision { declared: known.revision, found: checked.revision() }),
    }
}

#[cfg(test)]
#[path = "committed_state_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "stored_by_5_tests.rs"]
mod stored_by_5_tests;
