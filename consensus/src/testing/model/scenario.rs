//! What bounds one exploration: the machines, the operations of the proposers, and how many faults there are.

use super::machines::MachineSet;
use crate::proposal::Decision;
use crate::quorum;

/// What a client asks of a proposer. A body is the list of the changes that were made, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// Add this change, unless it was taken before.
    Write(u8),
    Read,
}

impl Operation {
    /// Decides on the body that is committed, as the controller does for a configuration.
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

/// One proposer: its operations, done in this order, and how many proposals it may begin in total.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    pub operations: Vec<Operation>,
    pub attempts: u8,
}

/// A change of the membership, as `next_membership` is to see it.
#[derive(Clone, Debug)]
pub struct MembershipChange {
    /// A member that is about to end. It is exchanged, or removed when there is one too many.
    pub leaving: Option<usize>,
    pub candidates: Vec<usize>,
    /// How many controllers take it on themselves to make the change.
    pub coordinators: usize,
}

/// A change of an owner that is gone: its proposal number was prepared by some, and the change accepted by others.
#[derive(Clone, Copy, Debug)]
pub struct IncompleteWrite {
    pub prepared_by: MachineSet,
    pub accepted_by: MachineSet,
}

/// A fault that is put in on purpose: the exploration must find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A round is over with one response less than a quorum.
    QuorumOneShort,
    /// An acceptor accepts a proposal number below the one that it prepared.
    OldProposalAccepted,
    /// A response leaves before it is on disk.
    ResponseBeforeSync,
    /// An acceptor with an empty disk votes at once.
    WipedVotesAtOnce,
    /// An acceptor with an empty disk reads the others before the rounds that counted its lost responses are over.
    RecoveryWithoutDelay,
    /// A proposer that was restarted takes up the proposal numbers of its incarnation before.
    ProposalNumbersReused,
    /// A read is answered from what was held, without asking a quorum.
    ReadFromMemory,
    /// Members are exchanged without joint quorums.
    NoJointQuorums,
    /// A change of members is stable without committing the keys again.
    StabilizedWithoutRecommit,
}

/// Invariant: machines that are interchangeable have the same part in every membership.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    pub machines: usize,
    /// The first machines are the members of the first membership.
    pub member_count: usize,
    pub proposers: Vec<Workload>,
    /// An operation that was done before the exploration begins, learned of by these machines only. The first
    /// proposer, if any, did it and owns the key.
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
    /// How many members of a membership may be without their memory at a time.
    pub fn tolerated_losses(members: usize) -> usize {
        members - quorum::majority(members)
    }
}
