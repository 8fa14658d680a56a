//! One change or linearizable read of a register, from the first request to its outcome, as a pure state machine.
//!
//! A proposal takes one or two rounds: a claim if the proposer does not own the key, then a change if the caller
//! decides on one. The controller drives it over the network, the simulation in virtual time.

use std::mem;

use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, ProposalNumber};

use crate::round::{Ownership, Round, RoundProgress};

/// The caller's decision, given the committed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision<T> {
    /// Change nothing and finish with this answer.
    Answer(T),
    /// Commit this body, then finish with this answer.
    Write(Vec<u8>, T),
}

/// What a proposal needs next, or how it ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress<T> {
    /// More responses are needed.
    Wait,
    /// This operation must be sent to every member of the proposal's membership. Responses to earlier operations no
    /// longer count.
    Send(ConsensusOperation),
    /// The change is committed, or the answer is based on a quorum read.
    Finished {
        /// The answer of the caller's decision.
        answer: T,
        /// Lets the next change of the same key skip the claim.
        ownership: Ownership,
        /// Whether a change was committed.
        written: bool,
    },
    /// Another owner is active under this higher proposal number. Whether this proposal's write is committed is
    /// unknown.
    Superseded(ProposalNumber),
    /// An acceptor knows this newer membership. Whether this proposal's write is committed is unknown.
    NewerMembership(CoreMembership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage<T> {
    /// Claiming the key: a quorum prepares a new number, and the newest entry that it reports is committed again.
    Claiming,
    /// Committing a change, after which the proposal finishes with this answer.
    Writing(T),
}

/// One change or read of a register.
///
/// Invariants: an answer without a write is based only on a quorum read by this proposal; a change is written only
/// under a proposal number that a quorum prepared for this owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal<T> {
    key: String,
    round: Round,
    stage: Stage<T>,
}

impl<T> Proposal<T> {
    /// Starts with a change if `ownership`, from an earlier proposal, is still valid and the caller decides on a
    /// change; else with a claim under `proposal_number`, which this owner must not have used before. Returns the
    /// proposal and the operation to send to every member. `now` is in milliseconds.
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
            // An answer without a write would be based on an earlier read, and another owner may have changed the key
            // since.
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

    /// Returns whether the current round has timed out. `now` is in milliseconds.
    pub fn is_expired(&self, now: u64) -> bool {
        self.round.is_expired(now)
    }

    /// Handles a response to the current operation from the member at this address. `now` is in milliseconds.
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
