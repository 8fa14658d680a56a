//! What the keys of the control state hold, and how it is read from what was committed.

use std::collections::BTreeMap;
use std::mem;
use std::sync::Arc;

use consensus::MEMBERSHIP_KEY;
use protocol::config::{ConfigDocument, ConfigError};
use protocol::message::{Entry, Message, Position, StalenessLimit, STALENESS_LIMIT_PREFIX};
use protocol::version_rollout::{VersionRollout, KEY_PREFIX};

use crate::config::body::Held;
use crate::config::history::{ConfigHistory, NotNewer};
use crate::controller::{Controller, SURE_MS};
use crate::event::{LEARNED, UNREADABLE};

#[derive(Clone, Debug, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Closed {
    pub version: u64,
    pub on: bool,
}

#[derive(Clone, Debug, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Duty {
    pub epoch: u64,
    pub holder: String,
    /// The holder has waited out whoever held it before, and said so before its first act.
    pub clear: bool,
}

pub const CONFIG: &str = "config";
pub const CLOSED: &str = "evacuation/";
pub const DUTY: &str = "duty/";

kernel::impl_archive_bytes!(Closed);
kernel::impl_archive_bytes!(Duty);

pub use consensus::{decode_membership as read_core, encode_membership as write_core};

/// The value in a body; the first one where there is none yet. None: the body is of another form, and is never taken for
/// an empty one.
macro_rules! open {
    ($kind:ty) => {
        impl $kind {
            pub fn open(body: &[u8]) -> Option<Self> {
                match body.is_empty() {
                    true => Some(Self::default()),
                    false => Self::from_bytes(body),
                }
            }
        }
    };
}

open!(Closed);
open!(Duty);

/// Why a committed entry cannot be taken for what a key holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// The body is of no form that this version knows.
    Body,
    Text(ConfigError),
    /// The body tells another revision than its text.
    Revision {
        told: u64,
        found: u64,
    },
    /// It would lead back from what is known.
    NotNewer(NotNewer),
}

impl std::fmt::Display for Unreadable {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Unreadable::Body => out.write_str("a body of an unknown form"),
            Unreadable::Text(error) => error.fmt(out),
            Unreadable::Revision { told, found } => write!(out, "revision: told {told}, found {found}"),
            Unreadable::NotNewer(order) => write!(out, "revision: found {}, {} is known", order.found, order.held),
        }
    }
}

impl Controller {
    /// A committed entry becomes known here; with `tell` also to the other controllers. Followers get
    /// what is new to them at once.
    pub fn learn(&self, key: &str, entry: &Entry, tell: bool) {
        let is_news = self.learn_read(key, entry, None);
        if is_news && tell {
            self.notify_peers(&Message::Committed(Box::new((key.into(), entry.clone()))));
        }
    }

    /// The same for a configuration that was read already.
    pub fn learn_config(&self, entry: &Entry, read: Arc<ConfigDocument>) {
        self.learn_read(CONFIG, entry, Some(read));
    }

    /// False: it, or a newer one, was known.
    fn learn_read(&self, key: &str, entry: &Entry, read: Option<Arc<ConfigDocument>>) -> bool {
        let learned = self.committed.learn(key, entry, read);
        match learned {
            Learned::Known => return false,
            Learned::Unreadable { error, first } => {
                if first {
                    kernel::log_event!(UNREADABLE, "key" => key, "turn" => entry.proposal_number.term,
                        "step" => entry.index, "error" => error.to_string());
                }
                return true;
            }
            Learned::Again => {}
            Learned::New { revision } => {
                kernel::log_event!(LEARNED, "key" => key, "revision" => revision, "turn" => entry.proposal_number.term,
                    "step" => entry.index);
            }
        }
        if key == MEMBERSHIP_KEY {
            if let Some(core) = read_core(&entry.body) {
                self.replica.adopt_membership(&core);
            }
        }
        self.push();
        true
    }
}

/// What became of a committed entry.
#[derive(Debug, PartialEq, Eq)]
pub enum Learned {
    /// It, or a newer one, was known.
    Known,
    /// The same body, committed again.
    Again,
    New {
        revision: u64,
    },
    /// It is not known here: what the key held before is, and its place stays behind. `first`: not told before.
    Unreadable {
        error: Unreadable,
        first: bool,
    },
}

/// What is known to be committed. Invariant: the place of an entry never goes back.
#[derive(Default)]
pub struct CommittedState {
    pub entries: BTreeMap<String, Entry>,
    /// When the read began that last confirmed these at a majority; None before the first.
    pub sure: Option<u64>,
    /// The highest turn seen in any ballot.
    pub turn: u64,
    /// The configuration in the entry of its key, as a value and as routers take it.
    pub history: ConfigHistory,
    /// The place of a committed entry that could not be read: it is not known here, so nothing newer than what it was
    /// committed on top of counts as confirmed.
    pub unreadable: Option<Position>,
    /// The evacuations with their versions.
    pub closed: BTreeMap<String, (u64, bool)>,
    /// Limits on stale weights, removed ones too: their versions must not start anew.
    pub rules: BTreeMap<String, StalenessLimit>,
    /// The newest rollout of each service.
    pub rollouts: BTreeMap<String, VersionRollout>,
    /// By key: epoch, holder, and whether it has waited.
    pub duties: BTreeMap<String, (u64, String, bool)>,
}

impl CommittedState {
    /// Returns whether the last confirmation still counts.
    pub fn is_confirmed(&self, now: u64) -> bool {
        self.sure.is_some_and(|time| now < time + SURE_MS)
    }

    /// Takes an entry that is committed. `read`: the configuration in it, where that was read already.
    pub fn learn(&mut self, key: &str, entry: &Entry, read: Option<Arc<ConfigDocument>>) -> Learned {
        self.turn = self.turn.max(entry.proposal_number.term);
        let held = self.entries.get(key);
        if held.is_some_and(|held| held.position() >= entry.position()) {
            return Learned::Known;
        }
        let same = held.is_some_and(|held| held.body == entry.body);
        if !same {
            if let Err(error) = self.fold(key, &entry.body, read) {
                let place = Some(entry.position());
                let first = mem::replace(&mut self.unreadable, place) != place;
                return Learned::Unreadable { error, first };
            }
        }
        self.entries.insert(key.into(), entry.clone());
        match same {
            true => Learned::Again,
            false => Learned::New { revision: self.history.revision() },
        }
    }

    fn fold(&mut self, key: &str, body: &[u8], read: Option<Arc<ConfigDocument>>) -> Result<(), Unreadable> {
        if key == CONFIG {
            return self.fold_config(body, read);
        }
        if let Some(zone) = key.strip_prefix(CLOSED) {
            let closed = Closed::open(body).ok_or(Unreadable::Body)?;
            self.closed.insert(zone.into(), (closed.version, closed.on));
        }
        if key.starts_with(STALENESS_LIMIT_PREFIX) && !body.is_empty() {
            let rule = StalenessLimit::from_bytes(body).ok_or(Unreadable::Body)?;
            self.rules.insert(key.into(), rule);
        }
        if let Some(service) = key.strip_prefix(KEY_PREFIX).filter(|_| !body.is_empty()) {
            let rollout = VersionRollout::from_bytes(body).ok_or(Unreadable::Body)?;
            self.rollouts.insert(service.into(), rollout);
        }
        if key.starts_with(DUTY) {
            let duty = Duty::open(body).ok_or(Unreadable::Body)?;
            self.duties.insert(key.into(), (duty.epoch, duty.holder, duty.clear));
        }
        if key == MEMBERSHIP_KEY && !body.is_empty() {
            read_core(body).ok_or(Unreadable::Body)?;
        }
        Ok(())
    }

    fn fold_config(&mut self, body: &[u8], read: Option<Arc<ConfigDocument>>) -> Result<(), Unreadable> {
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
    let held = Held::open(body).ok_or(Unreadable::Body)?;
    let checked = ConfigDocument::parse_committed(&held.text).map_err(Unreadable::Text)?;
    match checked.revision() == held.revision {
        true => Ok(checked),
        false => Err(Unreadable::Revision { told: held.revision, found: checked.revision() }),
    }
}

#[cfg(test)]
#[path = "committed_state_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "stored_by_5_tests.rs"]
mod stored_by_5_tests;
