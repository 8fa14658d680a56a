//! Messages between proposers and acceptors: Paxos as in Lamport's "Paxos Made Simple", for many independent registers.

use rkyv::{Archive, Deserialize, Serialize};

/// Identifies the proposals of one owner of a register. Totally ordered by term, then by replica id: a larger number
/// supersedes a smaller one. Invariant: an owner proposes under a single number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Increases whenever a register changes its owner.
    pub term: u64,
    /// Identifies one incarnation of one controller.
    pub replica_id: u64,
}

/// One value of a register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct Entry {
    /// The proposal number under which its owner wrote it.
    pub proposal_number: ProposalNumber,
    /// Index of the change among those that the owner made under that number, starting at 0.
    pub index: u64,
    /// The value.
    pub body: Vec<u8>,
}

/// The position of an entry in the history of its key. Ordered by proposal number, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct Position {
    /// The proposal number under which the owner of the key wrote the entry.
    pub proposal_number: ProposalNumber,
    /// Index of the change among those that the owner made under that number.
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
    /// Returns the position of this entry in the history of its key.
    pub fn position(&self) -> Position {
        Position { proposal_number: self.proposal_number, index: self.index }
    }
}

/// A voting controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct Member {
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
}

/// The voting controllers. Invariants: `version` increases by one with each change; a change starts only from a stable
/// membership; until the new membership is stable, the previous members count as well.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct CoreMembership {
    /// Number of membership changes so far.
    pub version: u64,
    /// The members.
    pub members: Vec<Member>,
    /// The members of the previous version.
    pub previous_members: Vec<Member>,
    /// Whether only `members` count; false while the change from `previous_members` is in progress.
    pub stable: bool,
}

/// An operation that a proposer requests from an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum ConsensusOperation {
    /// Phase 1: promise to accept nothing below this proposal number, and respond with the accepted entry.
    Prepare {
        /// The key of the register.
        key: String,
        /// The proposal number.
        proposal_number: ProposalNumber,
    },
    /// Phase 2: accept this entry.
    Accept {
        /// The key of the register.
        key: String,
        /// The entry.
        entry: Entry,
    },
    /// Respond with the positions of all registers, without their bodies.
    Positions,
    /// Respond with the acceptor's whole state, for an acceptor that lost its disk.
    Snapshot,
    /// Respond with the accepted entry, without preparing.
    Fetch {
        /// The key of the register.
        key: String,
    },
}

/// A request of a proposer to an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct ConsensusRequest {
    /// The membership that the proposer forms quorums from; a membership is sent only once it is committed.
    pub membership: CoreMembership,
    /// The requested operation.
    pub operation: ConsensusOperation,
}

/// An acceptor's state of one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct RegisterState {
    /// The key of the register.
    pub key: String,
    /// The promised proposal number: the acceptor accepts nothing below it.
    pub prepared: ProposalNumber,
    /// The accepted entry, if any.
    pub entry: Option<Entry>,
}

/// The response of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum ConsensusResponse {
    /// The acceptor promised to accept nothing below the proposal number.
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
        /// One position per register.
        positions: Vec<KeyPosition>,
    },
    /// The response to `Snapshot`.
    Snapshot {
        /// The state of all registers.
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
    /// The acceptor is not a member, or lost its disk and has not yet recovered.
    NonVoting,
}

#[cfg(test)]
#[path = "consensus_tests.rs"]
mod tests;
