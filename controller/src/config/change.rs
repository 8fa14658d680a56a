//! What an operator's change of the configuration comes to on top of what is committed: pure.
use crate::config::body::{BodyForm, Held, Memory};
use protocol::config::{ConfigDocument, ConfigError, ConfigPatch};
use protocol::operator_request::ConfigChange;
use std::sync::Arc;

/// Why a change is refused for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another version is current.
    Conflict { base: u64, current: u64 },
    /// Its revision is not above the current one.
    OldRevision { found: u64, current: u64 },
    /// What is wrong with it.
    Invalid(ConfigError),
}

impl Refusal {
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Conflict { .. } => 412,
            Refusal::OldRevision { .. } => 400,
            Refusal::Invalid(error) => error.status(),
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Refusal::Conflict { base, current } => {
                write!(out, "If-Match: found {base}, version {current} is current")
            }
            Refusal::OldRevision { found, current } => write!(out, "revision: found {found}, must be above {current}"),
            Refusal::Invalid(error) => error.fmt(out),
        }
    }
}

/// What is to be committed, and the configuration in it. Invariant: the text of `held` is that of `checked`.
#[derive(Clone, Debug)]
pub struct Next {
    pub held: Held,
    pub checked: Arc<ConfigDocument>,
}

/// What is to be done about a change that is not refused.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It is in force, or was until a later one: it came again after a lost answer.
    TakenBefore,
    /// Whether it was taken, or could be, is not known here.
    Unknown,
    /// To be committed.
    Next(Next),
}

/// What a change holds, read once.
enum Content {
    Whole(Arc<ConfigDocument>),
    Items(ConfigPatch),
}

/// A change that was read, whether or not it is valid.
pub struct Proposed<'a> {
    change: &'a ConfigChange,
    content: Result<Content, ConfigError>,
}

impl Proposed<'_> {
    pub fn read(change: &ConfigChange) -> Proposed<'_> {
        let content = match change.partial {
            true => ConfigPatch::parse(&change.text).map(Content::Items),
            false => ConfigDocument::parse(&change.text).map(|checked| Content::Whole(Arc::new(checked))),
        };
        Proposed { change, content }
    }

    /// Judges the change on top of what is committed. `known` may be the configuration in `held`, already read.
    pub fn on(&self, held: &Held, known: Option<&ConfigDocument>, form: BodyForm) -> Result<Outcome, Refusal> {
        match held.recall(self.change) {
            Memory::Taken => return Ok(Outcome::TakenBefore),
            Memory::Forgotten => return Ok(Outcome::Unknown),
            Memory::NotTaken => {}
        }
        if self.change.base != held.revision {
            return Err(Refusal::Conflict { base: self.change.base, current: held.revision });
        }
        let checked = match &self.content {
            Err(error) => return Err(Refusal::Invalid(error.clone())),
            Ok(Content::Whole(checked)) => checked.clone(),
            Ok(Content::Items(_)) if held.revision == 0 => {
                return Err(Refusal::Invalid(ConfigError::no_base_config()));
            }
            Ok(Content::Items(patch)) => match with_base(held, known, |base| base.apply(patch)) {
                None => return Ok(Outcome::Unknown),
                Some(patched) => Arc::new(patched.map_err(Refusal::Invalid)?),
            },
        };
        if checked.revision() <= held.revision {
            return Err(Refusal::OldRevision { found: checked.revision(), current: held.revision });
        }
        Ok(Outcome::Next(next(self.change, held, checked, form)))
    }
}

/// Gives the configuration that is held. None: it cannot be read.
fn with_base<T>(held: &Held, known: Option<&ConfigDocument>, act: impl FnOnce(&ConfigDocument) -> T) -> Option<T> {
    match known.filter(|known| known.text() == held.text) {
        Some(known) => Some(act(known)),
        None => ConfigDocument::parse_committed(&held.text).ok().map(|base| act(&base)),
    }
}

fn next(change: &ConfigChange, held: &Held, checked: Arc<ConfigDocument>, form: BodyForm) -> Next {
    let mut next = Held { revision: checked.revision(), text: checked.text().into(), ..held.clone() };
    next.remember(change, form);
    Next { held: next, checked }
}

/// Judges a change on top of what is committed.
#[cfg(test)]
pub fn apply(change: &ConfigChange, held: &Held) -> Result<Outcome, Refusal> {
    Proposed::read(change).on(held, None, BodyForm::Digested)
}

/// Makes a change that is known to be committed on top of what is held: nothing is checked again. None: it does not
/// lead to that revision here.
pub fn repeat(
    change: &ConfigChange,
    revision: u64,
    held: &Held,
    known: Option<&ConfigDocument>,
    form: BodyForm,
) -> Option<Next> {
    let checked = match change.partial {
        true => {
            let patch = ConfigPatch::parse(&change.text).ok()?;
            with_base(held, known, |base| base.apply_committed(&patch))?
        }
        false => ConfigDocument::parse_committed(&change.text),
    };
    let checked = checked.ok().filter(|checked| checked.revision() == revision)?;
    Some(next(change, held, Arc::new(checked), form))
}

#[cfg(test)]
#[path = "change_tests.rs"]
mod tests;
