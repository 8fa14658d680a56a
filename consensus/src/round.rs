//! The proposer's side of one round on one register, as a pure state machine.
//!
//! A round follows "Paxos Made Simple", section 2.2. A claim prepares a new proposal number at a quorum and commits
//! again the newest entry found there. A change skips the prepare phase, because a quorum has already prepared the
//! owner's number (the paper's optimization for a distinguished proposer, section 3).

use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Entry, ProposalNumber};

use crate::{quorum, ROUND_TIMEOUT_MS};

/// An owner's knowledge of its register.
///
/// Invariants: `entry` is committed; its proposal number is the owner's own; the next change carries the next index,
/// so that two changes never share a position.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// The entry that was committed last.
    pub entry: Entry,
    /// The version of the membership under which a quorum prepared the owner's number.
    pub membership_version: u64,
}

impl Ownership {
    /// Returns whether nothing has ever been committed under this key.
    pub fn is_blank(&self) -> bool {
        self.entry.index == 0 && self.entry.body.is_empty()
    }
}

/// The number of terms reserved for each membership version.
const TERMS_PER_MEMBERSHIP: u64 = 1 << 32;

/// Returns the term of an owner's next proposal number: above its last one, and above every term under an earlier
/// membership.
///
/// An entry whose round was not completed under an earlier membership may be on a single disk, and its number may have
/// been prepared by members that have been removed since. It must not supersede an entry that was committed later by a
/// quorum that never saw it.
pub fn next_term(last: u64, membership: &CoreMembership) -> u64 {
    (last + 1).max(membership.version * TERMS_PER_MEMBERSHIP)
}

/// What a round needs next, or how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundProgress {
    /// More responses are needed.
    Wait,
    /// This operation must be sent to every member. Responses to earlier operations no longer count.
    Send(ConsensusOperation),
    /// The entry is chosen: a quorum has it on disk.
    Chosen(Ownership),
    /// Another owner is active under this higher proposal number. Whether this round's change is committed is unknown.
    Superseded(ProposalNumber),
    /// An acceptor knows this newer membership. Whether this round's change is committed is unknown.
    NewerMembership(CoreMembership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Phase 1, with the newest entry that any acceptor has reported.
    Preparing { newest: Option<Entry> },
    /// Phase 2, with the entry to be accepted.
    Accepting(Entry),
}

/// One round of a register.
///
/// Invariant: `responders` contains only members of the round's membership, each at most once per phase.
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
    /// Starts a claim, which prepares a new proposal number at a quorum and commits again the newest entry found there.
    /// Returns the round and the operation to send to every member. `now` is in milliseconds.
    pub fn claim(
        key: &str,
        membership: CoreMembership,
        proposal_number: ProposalNumber,
        now: u64,
    ) -> (Round, ConsensusOperation) {
        let operation = ConsensusOperation::Prepare { key: key.into(), proposal_number };
        (Round::new(key, membership, proposal_number, Phase::Preparing { newest: None }, now), operation)
    }

    /// Starts a change by the owner of the key. Returns the round and the operation to send to every member. `now` is
    /// in milliseconds.
    pub fn change(
        key: &str,
        membership: CoreMembership,
        ownership: &Ownership,
        body: Vec<u8>,
        now: u64,
    ) -> (Round, ConsensusOperation) {
        let entry = Entry { proposal_number: ownership.entry.proposal_number, index: ownership.entry.index + 1, body };
        let operation = ConsensusOperation::Accept { key: key.into(), entry: entry.clone() };
        (Round::new(key, membership, entry.proposal_number, Phase::Accepting(entry), now), operation)
    }

    fn new(key: &str, membership: CoreMembership, proposal_number: ProposalNumber, phase: Phase, now: u64) -> Round {
        let deadline = now + ROUND_TIMEOUT_MS;
        Round { key: key.into(), membership, proposal_number, phase, responders: Vec::new(), deadline }
    }

    /// Returns the membership whose quorums the round counts.
    pub fn membership(&self) -> &CoreMembership {
        &self.membership
    }

    /// Returns whether the round has timed out. `now` is in milliseconds.
    pub fn is_expired(&self, now: u64) -> bool {
        now >= self.deadline
    }

    /// Handles a response from the member at this address. `now` is in milliseconds.
    pub fn handle_response(&mut self, from: &str, response: ConsensusResponse, now: u64) -> RoundProgress {
        if self.is_expired(now) || !quorum::is_member(&self.membership, from) || self.has_responded(from) {
            return RoundProgress::Wait;
        }
        match response {
            ConsensusResponse::NewerMembership { membership } => RoundProgress::NewerMembership(membership),
            ConsensusResponse::Rejected { prepared } if prepared > self.proposal_number => {
                RoundProgress::Superseded(prepared)
            }
            ConsensusResponse::Prepared { entry } => self.record_prepared(from, entry),
            ConsensusResponse::Accepted => self.record_accepted(from),
            _ => RoundProgress::Wait,
        }
    }

    fn has_responded(&self, from: &str) -> bool {
        self.responders.iter().any(|responder| responder == from)
    }

    fn has_quorum(&self) -> bool {
        quorum::is_quorum(&self.membership, &self.responders)
    }

    fn record_prepared(&mut self, from: &str, entry: Option<Entry>) -> RoundProgress {
        let Phase::Preparing { newest } = &mut self.phase else { return RoundProgress::Wait };
        let newest_position = newest.as_ref().map(Entry::position);
        if entry.as_ref().map(Entry::position) > newest_position {
            *newest = entry;
        }
        self.responders.push(from.into());
        match self.has_quorum() {
            true => self.finish_preparing(),
            false => RoundProgress::Wait,
        }
    }

    /// Ends phase 1 after a quorum has prepared the number. The newest entry that it reported may be chosen, so that
    /// entry is committed again under the new number. If it reported none, none is chosen, and the proposer owns the
    /// register without phase 2.
    fn finish_preparing(&mut self) -> RoundProgress {
        let Phase::Preparing { newest } = &mut self.phase else { return RoundProgress::Wait };
        let Some(newest) = newest.take() else {
            let entry = Entry { proposal_number: self.proposal_number, index: 0, body: Vec::new() };
            return self.chosen(entry);
        };
        let entry = Entry { proposal_number: self.proposal_number, index: 0, body: newest.body };
        self.phase = Phase::Accepting(entry.clone());
        // Phase 2 needs its own quorum.
        self.responders.clear();
        RoundProgress::Send(ConsensusOperation::Accept { key: self.key.clone(), entry })
    }

    fn record_accepted(&mut self, from: &str) -> RoundProgress {
        let Phase::Accepting(entry) = &self.phase else { return RoundProgress::Wait };
        let entry = entry.clone();
        self.responders.push(from.into());
        match self.has_quorum() {
            true => self.chosen(entry),
            false => RoundProgress::Wait,
        }
    }

    fn chosen(&self, entry: Entry) -> RoundProgress {
        RoundProgress::Chosen(Ownership { entry, membership_version: self.membership.version })
    }
}

#[cfg(test)]
#[path = "testing/unit/round_tests.rs"]
mod tests;
