//! The owning side: one round of a register, as a pure state machine.

use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Entry, ProposalNumber};

use crate::{quorum, ROUND_TIMEOUT_MS};

/// What an owner holds. Invariants: `entry` is committed; its proposal number is the owner's own; a next
/// change carries `entry.step + 1`, so two changes never share a position.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    pub entry: Entry,
    pub membership_version: u64,
}

impl Ownership {
    /// Nothing was ever committed under this key.
    pub fn is_blank(&self) -> bool {
        self.entry.index == 0 && self.entry.body.is_empty()
    }
}

/// Turns of one version of the membership.
const TERMS_PER_MEMBERSHIP: u64 = 1 << 32;

/// The term of an owner's next proposal number: above its last one, and above every term under an earlier membership.
///
/// What an owner left incomplete under the membership before may be on one disk only, and its promise on members that
/// are gone. It must not outrank what was committed since by a quorum that never learned of it.
pub fn next_term(last: u64, membership: &CoreMembership) -> u64 {
    (last + 1).max(membership.version * TERMS_PER_MEMBERSHIP)
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundProgress {
    Wait,
    /// To be sent to every member.
    Send(ConsensusOperation),
    /// Committed: a majority has it on disk.
    Chosen(Ownership),
    /// Another owner is at work under a higher proposal number; the outcome of an own change is unknown.
    Superseded(ProposalNumber),
    NewerMembership(CoreMembership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Reading { found: Option<Entry> },
    Writing(Entry),
}

/// Invariant: `heard` counts each member once a phase, and only members of the round's membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    key: String,
    membership: CoreMembership,
    proposal_number: ProposalNumber,
    phase: Phase,
    responders: Vec<String>,
    deadline: u64,
}

impl Round {
    /// A take-over: reads a majority under a new proposal number and commits again what it finds.
    pub fn claim(
        key: &str,
        membership: CoreMembership,
        proposal_number: ProposalNumber,
        now: u64,
    ) -> (Round, ConsensusOperation) {
        let operation = ConsensusOperation::Prepare { key: key.into(), proposal_number };
        (Round::new(key, membership, proposal_number, Phase::Reading { found: None }, now), operation)
    }

    /// A change by the holder of a ownership.
    pub fn change(
        key: &str,
        membership: CoreMembership,
        ownership: &Ownership,
        body: Vec<u8>,
        now: u64,
    ) -> (Round, ConsensusOperation) {
        let entry = Entry { proposal_number: ownership.entry.proposal_number, index: ownership.entry.index + 1, body };
        let operation = ConsensusOperation::Accept { key: key.into(), entry: entry.clone() };
        (Round::new(key, membership, entry.proposal_number, Phase::Writing(entry), now), operation)
    }

    fn new(key: &str, membership: CoreMembership, proposal_number: ProposalNumber, phase: Phase, now: u64) -> Round {
        let deadline = now + ROUND_TIMEOUT_MS;
        Round { key: key.into(), membership, proposal_number, phase, responders: Vec::new(), deadline }
    }

    pub fn membership(&self) -> &CoreMembership {
        &self.membership
    }

    pub fn is_expired(&self, now: u64) -> bool {
        now >= self.deadline
    }

    pub fn handle_response(&mut self, from: &str, response: ConsensusResponse, now: u64) -> RoundProgress {
        if self.is_expired(now)
            || !quorum::is_member(&self.membership, from)
            || self.responders.iter().any(|ip| ip == from)
        {
            return RoundProgress::Wait;
        }
        match response {
            ConsensusResponse::NewerMembership { membership } => return RoundProgress::NewerMembership(membership),
            ConsensusResponse::Rejected { prepared } if prepared > self.proposal_number => {
                return RoundProgress::Superseded(prepared)
            }
            ConsensusResponse::Prepared { entry } => {
                let Phase::Reading { found } = &mut self.phase else { return RoundProgress::Wait };
                let best = found.as_ref().map(Entry::position);
                if entry.as_ref().map(Entry::position) > best {
                    *found = entry;
                }
                self.responders.push(from.into());
            }
            ConsensusResponse::Accepted => {
                let Phase::Writing(_) = &self.phase else { return RoundProgress::Wait };
                self.responders.push(from.into());
            }
            _ => return RoundProgress::Wait,
        }
        if !quorum::is_quorum(&self.membership, &self.responders) {
            return RoundProgress::Wait;
        }
        match &mut self.phase {
            Phase::Writing(entry) => {
                RoundProgress::Chosen(Ownership { entry: entry.clone(), membership_version: self.membership.version })
            }
            Phase::Reading { found } => {
                let Some(found) = found.take() else {
                    let entry = Entry { proposal_number: self.proposal_number, index: 0, body: Vec::new() };
                    return RoundProgress::Chosen(Ownership { entry, membership_version: self.membership.version });
                };
                // A new number: acceptance of the old phase must not count for the new one.
                let entry = Entry { proposal_number: self.proposal_number, index: 0, body: found.body };
                self.phase = Phase::Writing(entry.clone());
                self.responders.clear();
                RoundProgress::Send(ConsensusOperation::Accept { key: self.key.clone(), entry })
            }
        }
    }
}

#[cfg(test)]
#[path = "testing/unit/round_tests.rs"]
mod tests;
