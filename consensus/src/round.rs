//! The owning side: one round of a register, as a pure state machine.

use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Entry, ProposalNumber};

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
        self.entry.index == 0 && self.entry.body.is_empty()
    }
}

/// Turns of one version of the core.
const TURNS_OF_A_CORE: u64 = 1 << 32;

/// The turn of an owner's next ballot: above its last one, and above every turn under an earlier core.
///
/// What an owner left half done under the core before may be on one disk only, and its promise on members that
/// are gone. It must not outrank what was committed since by a quorum that never heard of it.
pub fn next_turn(last: u64, core: &CoreMembership) -> u64 {
    (last + 1).max(core.version * TURNS_OF_A_CORE)
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Wait,
    /// To be sent to every member.
    Send(ConsensusOperation),
    /// Committed: a majority has it on disk.
    Done(Ownership),
    /// Another owner is at work under a higher ballot; the outcome of an own change is unknown.
    Lost(ProposalNumber),
    Core(CoreMembership),
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
    core: CoreMembership,
    ballot: ProposalNumber,
    phase: Phase,
    heard: Vec<String>,
    deadline: u64,
}

impl Round {
    /// A take-over: reads a majority under a new ballot and commits again what it finds.
    pub fn take(key: &str, core: CoreMembership, ballot: ProposalNumber, now: u64) -> (Round, ConsensusOperation) {
        let ask = ConsensusOperation::Prepare { key: key.into(), ballot };
        (Round::new(key, core, ballot, Phase::Reading { found: None }, now), ask)
    }

    /// A change by the holder of a ownership.
    pub fn change(
        key: &str,
        core: CoreMembership,
        ownership: &Ownership,
        body: Vec<u8>,
        now: u64,
    ) -> (Round, ConsensusOperation) {
        let entry = Entry { proposal_number: ownership.entry.proposal_number, index: ownership.entry.index + 1, body };
        let ask = ConsensusOperation::Accept { key: key.into(), entry: entry.clone() };
        (Round::new(key, core, entry.proposal_number, Phase::Writing(entry), now), ask)
    }

    fn new(key: &str, core: CoreMembership, ballot: ProposalNumber, phase: Phase, now: u64) -> Round {
        let deadline = now + ROUND_MS;
        Round { key: key.into(), core, ballot, phase, heard: Vec::new(), deadline }
    }

    pub fn core(&self) -> &CoreMembership {
        &self.core
    }

    pub fn over(&self, now: u64) -> bool {
        now >= self.deadline
    }

    pub fn hear(&mut self, from: &str, vote: ConsensusResponse, now: u64) -> Step {
        if self.over(now) || !quorum::is_member(&self.core, from) || self.heard.iter().any(|ip| ip == from) {
            return Step::Wait;
        }
        match vote {
            ConsensusResponse::NewerMembership { core } => return Step::Core(core),
            ConsensusResponse::Rejected { prepared } if prepared > self.ballot => return Step::Lost(prepared),
            ConsensusResponse::Prepared { entry } => {
                let Phase::Reading { found } = &mut self.phase else { return Step::Wait };
                let best = found.as_ref().map(Entry::position);
                if entry.as_ref().map(Entry::position) > best {
                    *found = entry;
                }
                self.heard.push(from.into());
            }
            ConsensusResponse::Accepted => {
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
                    let entry = Entry { proposal_number: self.ballot, index: 0, body: Vec::new() };
                    return Step::Done(Ownership { entry, core: self.core.version });
                };
                // A new number: acceptance of the old phase must not count for the new one.
                let entry = Entry { proposal_number: self.ballot, index: 0, body: found.body };
                self.phase = Phase::Writing(entry.clone());
                self.heard.clear();
                Step::Send(ConsensusOperation::Accept { key: self.key.clone(), entry })
            }
        }
    }
}

#[cfg(test)]
#[path = "round_tests.rs"]
mod tests;
