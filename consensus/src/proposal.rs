//! One change or linearizable read of a register, from the first request to its outcome, as a pure state
//! machine. The controller drives it over the network, the simulation in virtual time.

use std::mem;

use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, ProposalNumber};

use crate::round::{Ownership, Round, RoundProgress};

/// What a caller decides once it sees what is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<T> {
    /// Nothing to change: answer with this.
    Answer(T),
    /// Commit this body, then answer.
    Write(Vec<u8>, T),
}

/// What is to be done next.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress<T> {
    Wait,
    /// To be sent to every acceptor of the proposal's membership; answers to earlier requests no longer count.
    Send(ConsensusOperation),
    /// Committed, or read at a quorum. The ownership serves the next change of the same key.
    Finished {
        answer: T,
        ownership: Ownership,
        written: bool,
    },
    /// Another owner is at work under this higher proposal number. The outcome of an own write is unknown.
    Superseded(ProposalNumber),
    /// An acceptor knows a newer membership. The outcome of an own write is unknown.
    NewerMembership(CoreMembership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage<T> {
    /// Taking the key over: reading a quorum under a new proposal number and committing again what is found.
    Claiming,
    /// Committing an own change.
    Writing(T),
}

/// Invariants: an answer without a write is given only on what this proposal itself read at a quorum; a
/// change is written only under a proposal number that a quorum has prepared to this owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal<T> {
    key: String,
    round: Round,
    stage: Stage<T>,
}

impl<T> Proposal<T> {
    /// Begins with what is held of the key from an earlier proposal, else with a claim. `proposal number` must be
    /// new to this owner.
    pub fn start(
        key: &str,
        membership: &CoreMembership,
        held: Option<Ownership>,
        proposal_number: ProposalNumber,
        decide: &mut impl FnMut(&[u8]) -> Decision<T>,
        now: u64,
    ) -> (Proposal<T>, ConsensusOperation) {
        let held = held.filter(|owner| owner.membership_version == membership.version);
        if let Some(ownership) = held {
            // An answer without a write would rest on a read of some time ago: another may own the key by now.
            if let Decision::Write(body, answer) = decide(&ownership.entry.body) {
                let (round, operation) = Round::change(key, membership.clone(), &ownership, body, now);
                return (Proposal { key: key.into(), round, stage: Stage::Writing(answer) }, operation);
            }
        }
        let (round, operation) = Round::claim(key, membership.clone(), proposal_number, now);
        (Proposal { key: key.into(), round, stage: Stage::Claiming }, operation)
    }

    pub fn membership(&self) -> &CoreMembership {
        self.round.membership()
    }

    /// Is the present round over without an outcome?
    pub fn is_expired(&self, now: u64) -> bool {
        self.round.is_expired(now)
    }

    /// Takes one vote on the present request.
    pub fn handle_response(
        &mut self,
        from: &str,
        response: ConsensusResponse,
        decide: &mut impl FnMut(&[u8]) -> Decision<T>,
        now: u64,
    ) -> Progress<T> {
        let ownership = match self.round.handle_response(from, response, now) {
            RoundProgress::Wait => return Progress::Wait,
            RoundProgress::Send(operation) => return Progress::Send(operation),
            RoundProgress::Superseded(proposal_number) => return Progress::Superseded(proposal_number),
            RoundProgress::NewerMembership(membership) => return Progress::NewerMembership(membership),
            RoundProgress::Chosen(ownership) => ownership,
        };
        if let Stage::Writing(answer) = mem::replace(&mut self.stage, Stage::Claiming) {
            return Progress::Finished { answer, ownership, written: true };
        }
        match decide(&ownership.entry.body) {
            Decision::Answer(answer) => Progress::Finished { answer, ownership, written: false },
            Decision::Write(body, answer) => {
                let (round, operation) =
                    Round::change(&self.key, self.round.membership().clone(), &ownership, body, now);
                self.round = round;
                self.stage = Stage::Writing(answer);
                Progress::Send(operation)
            }
        }
    }
}

#[cfg(test)]
#[path = "testing/unit/proposal_tests.rs"]
mod tests;
