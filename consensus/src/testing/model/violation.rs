//! What an exploration may find wrong.
use protocol::message::{Position, ProposalNumber};

/// A state or an action that must not be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two bodies at one position of the history.
    ConflictingValues { position: Position, bodies: [Vec<u8>; 2] },
    /// Two owners act under one proposal number.
    ConflictingOwners { proposal_number: ProposalNumber },
    /// What was acknowledged is not part of what a later quorum read returns.
    Lost { acknowledged: Vec<u8>, found: Vec<u8> },
    /// A change was acknowledged and is not in the body that was committed for it.
    MissingChange { change: u8, body: Vec<u8> },
    /// A response left an acceptor whose disk does not hold what the response rests on.
    NotSynced,
    /// A prepared number or the position of an entry decreased, or an entry is above the prepared number.
    Regressed,
    /// With a majority in touch and no further faults something does not terminate.
    Stuck(&'static str),
}
