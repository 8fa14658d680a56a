//! What an operator's change of the configuration comes to on top of what is committed: pure.
use crate::state::Held;
use wire::order::ConfigChange;

/// How many digests of taken changes are kept: more than are made while an operator may still resend one.
pub const TAKEN: usize = 1024;

/// Why a change is refused for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another version is current.
    Conflict { base: u64, current: u64 },
    /// What is wrong with it.
    Invalid(String),
}

impl Refusal {
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Conflict { .. } => 412,
            Refusal::Invalid(_) => 400,
        }
    }
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Refusal::Conflict { base, current } => {
                write!(out, "If-Match: found {base}, version {current} is current")
            }
            Refusal::Invalid(words) => out.write_str(words),
        }
    }
}

/// What is to be done about a change that is not refused.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It is in force, or was until a later one: it came again after a lost answer.
    TakenBefore,
    /// To be committed.
    Next(Held),
}

/// The same for the same change sent again, and for no other.
pub fn digest(change: &ConfigChange) -> u64 {
    let text = kernel::clock::hash(change.text.as_bytes());
    kernel::clock::blend(text, change.base * 2 + u64::from(change.partial))
}

/// Makes a change on top of what is committed.
pub fn apply(change: &ConfigChange, held: &Held) -> Result<Outcome, Refusal> {
    let digest = digest(change);
    if held.taken.contains(&digest) {
        return Ok(Outcome::TakenBefore);
    }
    if change.base != held.revision {
        return Err(Refusal::Conflict { base: change.base, current: held.revision });
    }
    let text = whole_text(change, held).map_err(Refusal::Invalid)?;
    let config = wire::config::read(&text).map_err(Refusal::Invalid)?;
    if config.revision <= held.revision {
        let words = format!("revision: found {}, must be above {}", config.revision, held.revision);
        return Err(Refusal::Invalid(words));
    }
    Ok(Outcome::Next(Held { revision: config.revision, text, taken: with_digest(held, digest) }))
}

/// Makes a change that is known to be committed on top of what is held: nothing is checked again.
pub fn repeat(change: &ConfigChange, revision: u64, held: &Held) -> Option<Held> {
    let text = whole_text(change, held).ok()?;
    Some(Held { revision, text, taken: with_digest(held, digest(change)) })
}

fn with_digest(held: &Held, digest: u64) -> Vec<u64> {
    let mut taken = held.taken.clone();
    taken.push(digest);
    let extra = taken.len().saturating_sub(TAKEN);
    taken.drain(..extra);
    taken
}

/// The text of the whole configuration with this change made.
fn whole_text(change: &ConfigChange, held: &Held) -> Result<String, String> {
    if !change.partial {
        return Ok(change.text.clone());
    }
    let items: serde_json::Value = serde_json::from_str(&change.text).map_err(|error| format!("change: {error}"))?;
    let current: serde_json::Value =
        serde_json::from_str(&held.text).map_err(|_| "no configuration to change".to_string())?;
    Ok(wire::config::patch(&current, &items)?.to_string())
}

#[cfg(test)]
#[path = "config_change_tests.rs"]
mod tests;
