//! The owning side: one round of a register, as a pure state machine.

use protocol::msg::{Ask, Ballot, Core, Entry, Vote};

use crate::{quorum, ROUND_MS};

/// What an owner holds. Invariants: `entry` is committed; its ballot is the owner's own; a next
/// change carries `entry.step + 1`, so two changes never share a place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    pub entry: Entry,
    pub core: u64,
}

impl Ownership {
    /// Nothing was ever committed under this key.
    pub fn is_blank(&self) -> bool {
        self.entry.step == 0 && self.entry.body.is_empty()
    }
}

/// Turns of one version of the core.
const TURNS_OF_A_CORE: u64 = 1 << 32;

/// The turn of an owner's next ballot: above its last one, and above every turn under an earlier core.
///
/// What an owner left half done under the core before may be on one disk only, and its promise on members that
/// are gone. It must not outrank what was committed since by a quorum that never heard of it.
pub fn next_turn(last: u64, core: &Core) -> u64 {
    (last + 1).max(core.version * TURNS_OF_A_CORE)
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Wait,
    /// To be sent to every member.
    Send(Ask),
    /// Committed: a majority has it on disk.
    Done(Ownership),
    /// Another owner is at work under a higher ballot; the outcome of an own change is unknown.
    Lost(Ballot),
    Core(Core),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Reading { found: Option<Entry> },
    Writing(Entry),
}

/// Invariant: `heard` counts each member once a phase, and only members of the round's core.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    key: String,
    core: Core,
    ballot: Ballot,
    phase: Phase,
    heard: Vec<String>,
    deadline: u64,
}

impl Round {
    /// A take-over: reads a majority under a new ballot and commits again what it finds.
    pub fn take(key: &str, core: Core, ballot: Ballot, now: u64) -> (Round, Ask) {
        let ask = Ask::Prepare { key: key.into(), ballot };
        (Round::new(key, core, ballot, Phase::Reading { found: None }, now), ask)
    }

    /// A change by the holder of a ownership.
    pub fn change(key: &str, core: Core, ownership: &Ownership, body: Vec<u8>, now: u64) -> (Round, Ask) {
        let entry = Entry { ballot: ownership.entry.ballot, step: ownership.entry.step + 1, body };
        let ask = Ask::Accept { key: key.into(), entry: entry.clone() };
        (Round::new(key, core, entry.ballot, Phase::Writing(entry), now), ask)
    }

    fn new(key: &str, core: Core, ballot: Ballot, phase: Phase, now: u64) -> Round {
        let deadline = now + ROUND_MS;
        Round { key: key.into(), core, ballot, phase, heard: Vec::new(), deadline }
    }

    pub fn core(&self) -> &Core {
        &self.core
    }

    pub fn over(&self, now: u64) -> bool {
        now >= self.deadline
    }

    pub fn hear(&mut self, from: &str, vote: Vote, now: u64) -> Step {
        if self.over(now) || !quorum::is_member(&self.core, from) || self.heard.iter().any(|ip| ip == from) {
            return Step::Wait;
        }
        match vote {
            Vote::Newer { core } => return Step::Core(core),
            Vote::Refused { promised } if promised > self.ballot => return Step::Lost(promised),
            Vote::Promise { entry } => {
                let Phase::Reading { found } = &mut self.phase else { return Step::Wait };
                let best = found.as_ref().map(Entry::place);
                if entry.as_ref().map(Entry::place) > best {
                    *found = entry;
                }
                self.heard.push(from.into());
            }
            Vote::Accepted => {
                let Phase::Writing(_) = &self.phase else { return Step::Wait };
                self.heard.push(from.into());
            }
            _ => return Step::Wait,
        }
        if !quorum::is_quorum(&self.core, &self.heard) {
            return Step::Wait;
        }
        match &mut self.phase {
            Phase::Writing(entry) => Step::Done(Ownership { entry: entry.clone(), core: self.core.version }),
            Phase::Reading { found } => {
                let Some(found) = found.take() else {
                    let entry = Entry { ballot: self.ballot, step: 0, body: Vec::new() };
                    return Step::Done(Ownership { entry, core: self.core.version });
                };
                // A new number: acceptance of the old phase must not count for the new one.
                let entry = Entry { ballot: self.ballot, step: 0, body: found.body };
                self.phase = Phase::Writing(entry.clone());
                self.heard.clear();
                Step::Send(Ask::Accept { key: self.key.clone(), entry })
            }
        }
    }
}

#[cfg(test)]
#[path = "round_tests.rs"]
mod tests;
