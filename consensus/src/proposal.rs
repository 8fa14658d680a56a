//! One change or linearizable read of a register, from the first request to its outcome, as a pure state machine.
//!
//! A proposal consists of one or two rounds: a claim where the key is not owned, then a change where one is wanted.
//! The controller drives it over the network, the simulation in virtual time.

use std::mem;

use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, ProposalNumber};

use crate::round::{Ownership, Round, RoundProgress};

/// What a caller decides once it sees the committed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<T> {
    /// Nothing is to be changed: finish with this answer.
    Answer(T),
    /// Commit this body, then finish with this answer.
    Write(Vec<u8>, T),
}

/// What a proposal needs next, or how it ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress<T> {
    /// More responses are needed.
    Wait,
    /// This operation has to be sent to every member of the proposal's membership; responses to earlier ones no
    /// longer count.
    Send(ConsensusOperation),
    /// The change is committed, or the answer rests on what was read at a quorum.
    Finished {
        /// The answer that the caller decided on.
        answer: T,
        /// Serves the next change of the same key.
        ownership: Ownership,
        /// Whether a change was committed.
        written: bool,
    },
    /// Another owner is at work under this higher proposal number. The outcome of an own write is unknown.
    Superseded(ProposalNumber),
    /// An acceptor knows this newer membership. The outcome of an own write is unknown.
    NewerMembership(CoreMembership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage<T> {
    /// Claiming the key: a quorum prepares a new number, and what it reports is committed again.
    Claiming,
    /// Committing an own change, with the answer to give then.
    Writing(T),
}

/// One change or read of a register.
///
/// Invariants: an answer without a write is given only on what this proposal itself read at a quorum; a change is
/// written only under a proposal number that a quorum prepared for this owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal<T> {
    key: String,
    round: Round,
    stage: Stage<T>,
}

impl<T> Proposal<T> {
    /// Starts with the ownership of an earlier proposal where that serves, else with a claim under `proposal_number`,
    /// which must be new to this owner. Returns the proposal and the operation to send to every member. `now` is in
    /// milliseconds.
    pub fn start(
        key: &str,
        membership: &CoreMembership,
        ownership: Option<Ownership>,
        proposal_number: ProposalNumber,
        decide: &mut impl FnMut(&[u8]) -> Decision<T>,
        now: u64,
    ) -> (Proposal<T>, ConsensusOperation) {
        let ownership = ownership.filter(|ownership| ownership.membership_version == membership.version);
        if let Some(ownership) = ownership {
            // An answer without a write would rest on an earlier read: another may own the key by now.
            if let Decision::Write(body, answer) = decide(&ownership.entry.body) {
                let (round, operation) = Round::change(key, membership.clone(), &ownership, body, now);
                return (Proposal { key: key.into(), round, stage: Stage::Writing(answer) }, operation);
            }
        }
        let (round, operation) = Round::claim(key, membership.clone(), proposal_number, now);
        (Proposal { key: key.into(), round, stage: Stage::Claiming }, operation)
    }

    /// Returns the membership whose quorums the proposal counts.
    pub fn membership(&self) -> &CoreMembership {
        self.round.membership()
    }

    /// Returns whether the present round has run out of time without an outcome. `now` is in milliseconds.
    pub fn is_expired(&self, now: u64) -> bool {
        self.round.is_expired(now)
    }

    /// Handles a response to the present operation from the member at this address. `now` is in milliseconds.
    pub fn handle_response(
        &mut self,
        from: &str,
        response: ConsensusResponse,
        decide: &mut impl FnMut(&[u8]) -> Decision<T>,
        now: u64,
    ) -> Progress<T> {
        match self.round.handle_response(from, response, now) {
            RoundProgress::Wait => Progress::Wait,
            RoundProgress::Send(operation) => Progress::Send(operation),
            RoundProgress::Superseded(proposal_number) => Progress::Superseded(proposal_number),
            RoundProgress::NewerMembership(membership) => Progress::NewerMembership(membership),
            RoundProgress::Chosen(ownership) => self.finish_round(ownership, decide, now),
        }
    }

    fn finish_round(
        &mut self,
        ownership: Ownership,
        decide: &mut impl FnMut(&[u8]) -> Decision<T>,
        now: u64,
    ) -> Progress<T> {
        if let Stage::Writing(answer) = mem::replace(&mut self.stage, Stage::Claiming) {
            return Progress::Finished { answer, ownership, written: true };
        }
        match decide(&ownership.entry.body) {
            Decision::Answer(answer) => Progress::Finished { answer, ownership, written: false },
            Decision::Write(body, answer) => {
                let membership = self.round.membership().clone();
                let (round, operation) = Round::change(&self.key, membership, &ownership, body, now);
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
