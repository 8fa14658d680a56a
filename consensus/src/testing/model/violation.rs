//! The violations that an exploration can find.
use protocol::message::{Position, ProposalNumber};

/// An invariant that a state or an action violates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two different bodies have the same position.
    ConflictingValues { position: Position, bodies: [Vec<u8>; 2] },
    /// Two owners use the same proposal number.
    ConflictingOwners { proposal_number: ProposalNumber },
    /// A later quorum read does not return what was acknowledged.
    Lost { acknowledged: Vec<u8>, found: Vec<u8> },
    /// An acknowledged change is missing from the body that was committed for it.
    MissingChange { change: u8, body: Vec<u8> },
    /// An acceptor sent a response before the state behind it was on disk.
    NotSynced,
    /// A prepared number or the position of an entry decreased, or an entry is above the prepared number.
    Regressed,
    /// Something does not terminate although a majority is reachable and no further faults occur.
    NoProgress(&'static str),
}
