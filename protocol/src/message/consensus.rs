//! What proposers and acceptors send one another: Paxos as in Lamport's "Paxos Made Simple", for many independent
//! registers.

use rkyv::{Archive, Deserialize, Serialize};

/// Numbers the proposals of one owner of a register. Totally ordered by term, then by replica id: a larger number
/// supersedes a smaller one. Invariant: one owner acts under one number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Rises whenever a register changes its owner.
    pub term: u64,
    /// Identifies one incarnation of one controller.
    pub replica_id: u64,
}

/// One value of a register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct Entry {
    /// The proposal number under which its owner wrote it.
    pub proposal_number: ProposalNumber,
    /// Counts the changes that the owner made under that number; begins at 0 with each number.
    pub index: u64,
    /// The value.
    pub body: Vec<u8>,
}

/// Where an entry stands in the history of its key. Positions order by proposal number, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct Position {
    /// The proposal number under which the owner of the key wrote the entry.
    pub proposal_number: ProposalNumber,
    /// Counts the changes that the owner made under that number.
    pub index: u64,
}

/// A key and the position of the entry that an acceptor holds for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct KeyPosition {
    /// The key of the register.
    pub key: String,
    /// The position of its accepted entry.
    pub position: Position,
}

impl Entry {
    /// Returns where this entry stands in the history of its key.
    pub fn position(&self) -> Position {
        Position { proposal_number: self.proposal_number, index: self.index }
    }
}

/// A controller that votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct Member {
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
}

/// The controllers that vote. Invariants: `version` rises by one with each change; a change is made only from a stable
/// membership; until the next one is stable, the previous members count as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct CoreMembership {
    /// Counts the changes of members.
    pub version: u64,
    /// The members.
    pub members: Vec<Member>,
    /// The members of the version before.
    pub previous_members: Vec<Member>,
    /// Whether only `members` count; false while the change from `previous_members` is under way.
    pub stable: bool,
}

/// What a proposer asks of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum ConsensusOperation {
    /// Phase 1: accept nothing below this proposal number any more, and respond with the accepted entry.
    Prepare {
        /// The register.
        key: String,
        /// The proposal number.
        proposal_number: ProposalNumber,
    },
    /// Phase 2: accept this entry.
    Accept {
        /// The register.
        key: String,
        /// The entry.
        entry: Entry,
    },
    /// Respond with the positions of all registers, without their bodies.
    Positions,
    /// Respond with everything that the acceptor holds: for one that lost its disk.
    Snapshot,
    /// Respond with the accepted entry, without preparing.
    Fetch {
        /// The register.
        key: String,
    },
}

/// A request of a proposer to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct ConsensusRequest {
    /// The members that the proposer counts; a membership is sent only once it is committed.
    pub membership: CoreMembership,
    /// What it asks.
    pub operation: ConsensusOperation,
}

/// What an acceptor holds of one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct RegisterState {
    /// The register.
    pub key: String,
    /// The acceptor accepts nothing below this proposal number.
    pub prepared: ProposalNumber,
    /// The accepted entry, if any.
    pub entry: Option<Entry>,
}

/// The response of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum ConsensusResponse {
    /// The acceptor accepts nothing below the proposal number any more.
    Prepared {
        /// The accepted entry, if any.
        entry: Option<Entry>,
    },
    /// The acceptor accepted the entry.
    Accepted,
    /// The acceptor has prepared a higher proposal number.
    Rejected {
        /// That number.
        prepared: ProposalNumber,
    },
    /// The response to `Positions`.
    Positions {
        /// One position a register.
        positions: Vec<KeyPosition>,
    },
    /// The response to `Snapshot`.
    Snapshot {
        /// All registers.
        registers: Vec<RegisterState>,
    },
    /// The response to `Fetch`.
    Fetched {
        /// The accepted entry, if any.
        entry: Option<Entry>,
    },
    /// The proposer's membership is older than the acceptor's.
    NewerMembership {
        /// The acceptor's membership.
        membership: CoreMembership,
    },
    /// Not a member, or one that lost its disk and has not yet recovered.
    NonVoting,
}

#[cfg(test)]
#[path = "consensus_tests.rs"]
mod tests;
