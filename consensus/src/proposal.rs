//! One change or linearizable read of a register, from the first poll to its outcome, as a pure state
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
    /// To be sent to every voter of the proposal's core; answers to earlier polls no longer count.
    Send(ConsensusOperation),
    /// Committed, or read at a quorum. The ownership serves the next change of the same key.
    Finished {
        answer: T,
        ownership: Ownership,
        written: bool,
    },
    /// Another owner is at work under this higher ballot. The outcome of an own write is unknown.
    Superseded(ProposalNumber),
    /// A voter knows a newer core. The outcome of an own write is unknown.
    NewerMembership(CoreMembership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage<T> {
    /// Taking the key over: reading a quorum under a new ballot and committing again what is found.
    Claiming,
    /// Committing an own change.
    Writing(T),
}

/// Invariants: an answer without a write is given only on what this proposal itself read at a quorum; a
/// change is written only under a ballot that a quorum has promised to this owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal<T> {
    key: String,
    round: Round,
    stage: Stage<T>,
}

impl<T> Proposal<T> {
    /// Begins with what is held of the key from an earlier proposal, else with a claim. `ballot` must be
    /// new to this owner.
    pub fn start(
        key: &str,
        core: &CoreMembership,
        held: Option<Ownership>,
        ballot: ProposalNumber,
        judge: &mut impl FnMut(&[u8]) -> Decision<T>,
        now: u64,
    ) -> (Proposal<T>, ConsensusOperation) {
        let held = held.filter(|owner| owner.membership_version == core.version);
        if let Some(ownership) = held {
            // An answer without a write would rest on a read of some time ago: another may own the key by now.
            if let Decision::Write(body, answer) = judge(&ownership.entry.body) {
                let (round, ask) = Round::change(key, core.clone(), &ownership, body, now);
                return (Proposal { key: key.into(), round, stage: Stage::Writing(answer) }, ask);
            }
        }
        let (round, ask) = Round::claim(key, core.clone(), ballot, now);
        (Proposal { key: key.into(), round, stage: Stage::Claiming }, ask)
    }

    pub fn membership(&self) -> &CoreMembership {
        self.round.membership()
    }

    /// Is the present round over without an outcome?
    pub fn is_expired(&self, now: u64) -> bool {
        self.round.is_expired(now)
    }

    /// Takes one vote on the present poll.
    pub fn handle_response(
        &mut self,
        from: &str,
        vote: ConsensusResponse,
        judge: &mut impl FnMut(&[u8]) -> Decision<T>,
        now: u64,
    ) -> Progress<T> {
        let ownership = match self.round.handle_response(from, vote, now) {
            RoundProgress::Wait => return Progress::Wait,
            RoundProgress::Send(ask) => return Progress::Send(ask),
            RoundProgress::Superseded(ballot) => return Progress::Superseded(ballot),
            RoundProgress::NewerMembership(core) => return Progress::NewerMembership(core),
            RoundProgress::Chosen(ownership) => ownership,
        };
        if let Stage::Writing(answer) = mem::replace(&mut self.stage, Stage::Claiming) {
            return Progress::Finished { answer, ownership, written: true };
        }
        match judge(&ownership.entry.body) {
            Decision::Answer(answer) => Progress::Finished { answer, ownership, written: false },
            Decision::Write(body, answer) => {
                let (round, ask) = Round::change(&self.key, self.round.membership().clone(), &ownership, body, now);
                self.round = round;
                self.stage = Stage::Writing(answer);
                Progress::Send(ask)
            }
        }
    }
}

#[cfg(test)]
#[path = "testing/unit/proposal_tests.rs"]
mod tests;
