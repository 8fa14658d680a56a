//! What an operator's change of the configuration comes to on top of what is committed: pure.
use crate::state::Held;

/// How many digests of taken changes are kept: more than are made while an operator may still resend one.
pub const TAKEN: usize = 1024;

/// A whole configuration or a change of named items, as an operator sent it.
#[derive(Clone, Debug)]
pub struct ConfigChange {
    /// The version that it builds on.
    pub base: u64,
    pub text: String,
    /// Named items only: the rest stays as it is.
    pub partial: bool,
}

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

impl ConfigChange {
    /// The same for the same change sent again, and for no other.
    pub fn digest(&self) -> u64 {
        let text = kernel::clock::hash(self.text.as_bytes());
        kernel::clock::blend(text, self.base * 2 + u64::from(self.partial))
    }

    pub fn apply(&self, held: &Held) -> Result<Outcome, Refusal> {
        let digest = self.digest();
        if held.taken.contains(&digest) {
            return Ok(Outcome::TakenBefore);
        }
        if self.base != held.revision {
            return Err(Refusal::Conflict { base: self.base, current: held.revision });
        }
        let text = self.whole(held).map_err(Refusal::Invalid)?;
        let config = wire::config::read(&text).map_err(Refusal::Invalid)?;
        if config.revision <= held.revision {
            let words = format!("revision: found {}, must be above {}", config.revision, held.revision);
            return Err(Refusal::Invalid(words));
        }
        let mut taken = held.taken.clone();
        taken.push(digest);
        let extra = taken.len().saturating_sub(TAKEN);
        taken.drain(..extra);
        Ok(Outcome::Next(Held { revision: config.revision, text, taken }))
    }

    /// The text of the whole configuration with this change made.
    fn whole(&self, held: &Held) -> Result<String, String> {
        if !self.partial {
            return Ok(self.text.clone());
        }
        let change: serde_json::Value = serde_json::from_str(&self.text).map_err(|error| format!("change: {error}"))?;
        let current: serde_json::Value =
            serde_json::from_str(&held.text).map_err(|_| "no configuration to change".to_string())?;
        Ok(wire::config::patch(&current, &change)?.to_string())
    }
}

#[cfg(test)]
#[path = "config_change_tests.rs"]
mod tests;
