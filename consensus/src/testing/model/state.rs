//! The state of the model.

use std::collections::{BTreeMap, BTreeSet};
use std::iter;

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Entry, ProposalNumber, RegisterState,
};

use super::scenario::{Operation, Workload};
use super::shared::Shared;
use super::{machines, Model, KEY};
use crate::acceptor::Acceptor;
use crate::proposal::{Progress, Proposal};
use crate::round::{next_term, Ownership};

/// The number of attempts of a coordinator to commit a key again under a joint membership.
const COORDINATOR_ATTEMPTS: u8 = 1;
/// The change of a write that was not completed before the exploration begins.
const INCOMPLETE_CHANGE: u8 = 8;

/// An acceptor and its disk, which hold the same state between two requests: a response is sent only once its records
/// are on disk, and a request lost in a crash is equivalent to one that never arrived. The address of the acceptor is
/// set for each call only, so that interchangeable replicas are equal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Replica {
    pub acceptor: Shared<Acceptor>,
    /// When it lost its disk, until it may vote again.
    pub wiped_at: Option<u64>,
    /// The registers that it has read from others since, by machine.
    pub reads: BTreeMap<usize, Vec<RegisterState>>,
}

/// The purpose of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    Operation(Operation),
    /// Commits the key again under a joint membership.
    Recommit,
}

impl Purpose {
    /// Returns the operation that the proposal carries out.
    pub fn operation(self) -> Operation {
        match self {
            Purpose::Operation(operation) => operation,
            Purpose::Recommit => Operation::Read,
        }
    }
}

/// A proposal in progress. Responses stay in transit until those of a quorum are counted in a single step: counting
/// them one by one has no visible effect before the last one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Task {
    pub purpose: Purpose,
    pub proposal: Shared<Proposal<Vec<u8>>>,
    /// The current request, in transit to every member.
    pub request: Shared<ConsensusRequest>,
    pub responses: BTreeMap<usize, Shared<ConsensusResponse>>,
    /// The body that was acknowledged when the proposal began. The answer must extend it.
    pub acknowledged_before: Shared<Vec<u8>>,
}

/// The state of a transition, from which the `MembershipTransition` is built when it is needed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct TransitionRecord {
    /// Responses of the machines that were notified of the membership.
    pub responses: BTreeMap<usize, Shared<ConsensusResponse>>,
    pub recommitted: BTreeSet<String>,
}

/// A process that proposes changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Proposer {
    pub incarnation: u64,
    pub term: u64,
    /// The membership that it knows, as an index into the committed ones.
    pub membership: usize,
    /// The number of its completed operations.
    pub done: usize,
    pub attempts_left: u8,
    pub ownership: Option<Ownership>,
    pub task: Option<Task>,
    /// Whether it coordinates membership changes.
    pub is_coordinator: bool,
    pub transition: TransitionRecord,
}

/// A state of the cluster.
#[derive(Clone, Debug, Hash)]
pub struct State {
    pub now: u64,
    pub replicas: Vec<Shared<Replica>>,
    pub proposers: Vec<Shared<Proposer>>,
    /// Accept requests of rounds that are over. They may still reach an acceptor.
    pub late_requests: Shared<Vec<Shared<ConsensusRequest>>>,
    /// The committed memberships, oldest first.
    pub memberships: Shared<Vec<CoreMembership>>,
    /// The longest body that any client has received as an answer.
    pub acknowledged: Shared<Vec<u8>>,
    pub restarts_left: u8,
    pub wipes_left: u8,
}

impl State {
    /// Returns the membership that was committed last.
    pub fn newest_membership(&self) -> &CoreMembership {
        self.memberships.last().expect("there is a first membership")
    }

    /// Returns the highest term that an acceptor prepared.
    pub fn highest_term(&self) -> u64 {
        let registers = self.replicas.iter().filter_map(|replica| replica.acceptor.registers.get(KEY));
        registers.map(|register| register.prepared.term).max().unwrap_or_default()
    }

    /// Returns the number of replicas that may not vote.
    pub fn non_voting(&self) -> usize {
        self.replicas.iter().filter(|replica| !replica.acceptor.may_vote).count()
    }
}

impl Model {
    /// Returns the initial state: all machines reachable and idle, after the earlier operations of the scenario.
    pub fn initial_state(&self) -> State {
        let initial_members = (0..self.scenario.member_count).map(machines::member).collect();
        let membership =
            CoreMembership { version: 1, members: initial_members, previous_members: Vec::new(), stable: true };
        let acceptor = Acceptor { membership: membership.clone(), may_vote: true, ..Default::default() };
        let replica = Shared::new(Replica { acceptor: Shared::new(acceptor), ..Replica::default() });
        let idle =
            |workload: &Workload| Shared::new(Proposer { attempts_left: workload.attempts, ..Proposer::default() });
        let mut state = State {
            now: 0,
            replicas: vec![replica; self.scenario.machines],
            proposers: self.scenario.proposers.iter().map(idle).collect(),
            late_requests: Shared::new(Vec::new()),
            memberships: Shared::new(vec![membership]),
            acknowledged: Shared::new(Vec::new()),
            restarts_left: self.scenario.restarts,
            wipes_left: self.scenario.wipes,
        };
        if let Some(change) = &self.scenario.membership_change {
            let attempts_left = COORDINATOR_ATTEMPTS;
            let coordinator = Proposer { attempts_left, is_coordinator: true, ..Proposer::default() };
            state.proposers.extend(iter::repeat_n(Shared::new(coordinator), change.coordinators));
        }
        self.run_earlier_operation(&mut state);
        self.apply_incomplete_write(&mut state);
        state
    }

    fn apply_incomplete_write(&self, state: &mut State) {
        let Some(incomplete) = self.scenario.incomplete_write else { return };
        let membership = state.newest_membership().clone();
        let proposal_number =
            ProposalNumber { term: next_term(state.highest_term(), &membership), replica_id: u64::MAX };
        let entry = Entry { proposal_number, index: 1, body: vec![INCOMPLETE_CHANGE] };
        let prepare = ConsensusOperation::Prepare { key: KEY.into(), proposal_number };
        let accept = ConsensusOperation::Accept { key: KEY.into(), entry };
        for (requested, machines) in [(prepare, incomplete.prepared_by), (accept, incomplete.accepted_by)] {
            let request = Shared::new(ConsensusRequest { membership: membership.clone(), operation: requested });
            for machine in machines.iter() {
                let answer = self.respond(machine, &state.replicas[machine].acceptor, &request).expect("no violation");
                state.put_acceptor(machine, answer.acceptor);
            }
        }
    }

    fn run_earlier_operation(&self, state: &mut State) {
        let Some((operation, machines)) = self.scenario.earlier_operation else { return };
        let membership = state.newest_membership().clone();
        let progress = self.run(state, &membership, machines, operation).expect("no violation");
        let Progress::Finished { answer, ownership: owner, .. } = progress else {
            panic!("the machines of the earlier operation are not a quorum")
        };
        state.acknowledged = Shared::new(answer);
        if let Some(first) = state.proposers.first_mut().filter(|proposer| !proposer.is_coordinator) {
            first.edit(|proposer| proposer.ownership = Some(owner));
        }
    }
}
