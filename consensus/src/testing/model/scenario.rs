//! The bounds of an exploration: the machines, the operations of the proposers and the number of faults.

use super::machines::MachineSet;
use crate::proposal::Decision;
use crate::quorum;

/// A client's request to a proposer. A body is the list of the changes that were made, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Appends this change, unless the body already contains it.
    Write(u8),
    /// Returns the committed body.
    Read,
}

impl Operation {
    /// Decides on the next body from the committed one, as the controller does for a configuration.
    pub fn decide(self, committed: &[u8]) -> Decision<Vec<u8>> {
        match self {
            Operation::Write(change) if !committed.contains(&change) => {
                let body = [committed, &[change]].concat();
                Decision::Write(body.clone(), body)
            }
            _ => Decision::Answer(committed.to_vec()),
        }
    }
}

/// The work of one proposer: its operations, in order, and how many proposals it may begin in total.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    pub operations: Vec<Operation>,
    pub attempts: u8,
}

/// The input of `next_membership` for a membership change.
#[derive(Clone, Debug)]
pub struct MembershipChange {
    /// A member that is shutting down. It is replaced, or removed if the number of members is even.
    pub leaving: Option<usize>,
    pub candidates: Vec<usize>,
    /// The number of controllers that try to make the change.
    pub coordinators: usize,
}

/// A write that its owner did not complete: some machines prepared its proposal number, and some accepted its entry.
#[derive(Clone, Copy, Debug)]
pub struct IncompleteWrite {
    pub prepared_by: MachineSet,
    pub accepted_by: MachineSet,
}

/// An injected defect, which the exploration must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A round completes with one response less than a quorum.
    QuorumOneShort,
    /// An acceptor accepts a proposal number below the one that it prepared.
    OldProposalAccepted,
    /// A response is sent before its records are on disk.
    ResponseBeforeSync,
    /// An acceptor with an empty disk votes at once.
    WipedVotesAtOnce,
    /// An acceptor with an empty disk reads the others before the rounds that counted its lost responses are over.
    RecoveryWithoutDelay,
    /// A restarted proposer reuses the proposal numbers of its previous incarnation.
    ProposalNumbersReused,
    /// A read is answered from memory, without a quorum read.
    ReadFromMemory,
    /// A member is replaced without joint quorums.
    NoJointQuorums,
    /// A joint membership becomes stable although its keys were not committed again.
    StabilizedWithoutRecommit,
}

/// The setup of one exploration. Invariant: interchangeable machines have the same role in every membership.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub machines: usize,
    /// The first machines are the members of the first membership.
    pub member_count: usize,
    pub proposers: Vec<Workload>,
    /// An operation that was completed before the exploration begins, on these machines only. The first proposer, if
    /// any, made it and owns the key.
    pub earlier_operation: Option<(Operation, MachineSet)>,
    pub incomplete_write: Option<IncompleteWrite>,
    pub membership_change: Option<MembershipChange>,
    pub restarts: u8,
    pub wipes: u8,
    /// Groups of machines that differ in nothing but their number.
    pub interchangeable: Vec<Vec<usize>>,
    pub defect: Option<Defect>,
}

impl Scenario {
    /// Returns how many members of a membership may have lost their state at the same time.
    pub fn tolerated_losses(members: usize) -> usize {
        members - quorum::majority(members)
    }
}
