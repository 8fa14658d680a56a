//! What the keys of the control state hold, and how it is read from what was committed.

use std::mem;
use std::sync::Arc;

use consensus::MEMBERSHIP_KEY;
use protocol::config::{ConfigDocument, ConfigError};
use protocol::message::{Entry, Message, StalenessLimit, STALENESS_LIMIT_PREFIX};
use protocol::version_rollout::{VersionRollout, KEY};

use crate::config_body::Held;
use crate::config_history::NotNewer;
use crate::controller::{CommittedState, Controller};
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

kernel::bytes!(Closed);
kernel::bytes!(Duty);

pub use consensus::core_body::{read as read_core, write as write_core};

/// The value in a body; the first one where there is none yet. None: the body is of another form, and is never taken for
/// an empty one.
macro_rules! open {
    ($kind:ty) => {
        impl $kind {
            pub fn open(body: &[u8]) -> Option<Self> {
                match body.is_empty() {
                    true => Some(Self::default()),
                    false => Self::read_bytes(body),
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
            let note = Message::Committed(Box::new((key.into(), entry.clone())));
            for ip in self.known() {
                self.peer(&ip).notify(note.clone());
            }
        }
    }

    /// The same for a configuration that was read already.
    pub fn learn_config(&self, entry: &Entry, read: Arc<ConfigDocument>) {
        self.learn_read(CONFIG, entry, Some(read));
    }

    /// False: it, or a newer one, was known.
    fn learn_read(&self, key: &str, entry: &Entry, read: Option<Arc<ConfigDocument>>) -> bool {
        let learned = self.committed_state.lock().expect("committed_state").learn(key, entry, read);
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
                self.adopt(&core);
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

impl CommittedState {
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
            let rule = StalenessLimit::read_bytes(body).ok_or(Unreadable::Body)?;
            self.rules.insert(key.into(), rule);
        }
        if let Some(service) = key.strip_prefix(KEY).filter(|_| !body.is_empty()) {
            let rollout = VersionRollout::read_bytes(body).ok_or(Unreadable::Body)?;
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
#[path = "state_tests.rs"]
mod tests;
