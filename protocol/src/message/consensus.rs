//! What proposers and acceptors say to one another.

use rkyv::{Archive, Deserialize, Serialize};

/// A ledger position: rises with each take-over (`turn`, ties by `seat`) and each change (`step`).
/// Invariant: one owner acts under one (`turn`, `seat`); `step` restarts at 0 with each of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct ProposalNumber {
    pub term: u64,
    pub replica_id: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct Entry {
    pub proposal_number: ProposalNumber,
    pub index: u64,
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

#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct Member {
    pub ip: String,
    pub zone: String,
}

/// The core. Invariants: `version` rises by one a change; a change is made only from a settled core;
/// until it is settled, `prev` are the members before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct CoreMembership {
    pub version: u64,
    pub members: Vec<Member>,
    pub previous_members: Vec<Member>,
    pub stable: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum ConsensusOperation {
    Prepare {
        key: String,
        proposal_number: ProposalNumber,
    },
    Accept {
        key: String,
        entry: Entry,
    },
    /// The places of all keys, without their bodies.
    Positions,
    /// All that a voter holds: for a voter that lost its disk.
    Snapshot,
    Fetch {
        key: String,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct ConsensusRequest {
    /// A core is only ever sent once it is committed.
    pub membership: CoreMembership,
    pub operation: ConsensusOperation,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct RegisterState {
    pub key: String,
    pub prepared: ProposalNumber,
    pub entry: Option<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum ConsensusResponse {
    Prepared {
        entry: Option<Entry>,
    },
    Accepted,
    Rejected {
        prepared: ProposalNumber,
    },
    Positions {
        positions: Vec<KeyPosition>,
    },
    Snapshot {
        registers: Vec<RegisterState>,
    },
    Fetched {
        entry: Option<Entry>,
    },
    /// The asker's core is older than this one.
    NewerMembership {
        membership: CoreMembership,
    },
    /// Not a voter, or one that must first read the others.
    NonVoting,
}

#[cfg(test)]
#[path = "consensus_tests.rs"]
mod tests;
