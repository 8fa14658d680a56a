//! The state of the modelled world.

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

/// How many attempts there are to commit a key again under a changed membership.
const COORDINATOR_ATTEMPTS: u8 = 1;
/// The change that may have been left incomplete before the exploration begins.
const INCOMPLETE_CHANGE: u8 = 8;

/// One acceptor and its disk, which hold the same between two requests: a response leaves only once it is on disk, and
/// requests that a crash loses are requests that did not come. Its address is put in for each call, so that
/// interchangeable replicas are equal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Replica {
    pub acceptor: Shared<Acceptor>,
    /// When it lost its disk, as long as it may not vote again.
    pub wiped_at: Option<u64>,
    /// What it has read from others since, in order to recover.
    pub reads: BTreeMap<usize, Vec<RegisterState>>,
}

/// What a proposal is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    Operation(Operation),
    /// The key is committed again under a changed membership.
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

/// A proposal under way. Responses are under way until those of a quorum are counted at once: counting them one by
/// one changes nothing that others can see before the last one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Task {
    pub purpose: Purpose,
    pub proposal: Shared<Proposal<Vec<u8>>>,
    /// The present request, on its way to every member.
    pub request: Shared<ConsensusRequest>,
    pub responses: BTreeMap<usize, Shared<ConsensusResponse>>,
    /// What was acknowledged when the proposal began: its answer must hold it.
    pub acknowledged_before: Shared<Vec<u8>>,
}

/// The transition of a changed membership, from which the real one is built when it is asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct TransitionRecord {
    /// Responses of those that were notified of the membership.
    pub responses: BTreeMap<usize, Shared<ConsensusResponse>>,
    pub recommitted: BTreeSet<String>,
}

/// A process that proposes changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Proposer {
    pub incarnation: u64,
    pub term: u64,
    /// The membership that it knows, as an index of the committed ones.
    pub membership: usize,
    /// How many of its operations are done.
    pub done: usize,
    pub attempts_left: u8,
    pub ownership: Option<Ownership>,
    pub task: Option<Task>,
    /// This one coordinates changes of the membership.
    pub coordinates: bool,
    pub transition: TransitionRecord,
}

#[derive(Clone, Debug, Hash)]
pub struct State {
    pub now: u64,
    pub replicas: Vec<Shared<Replica>>,
    pub proposers: Vec<Shared<Proposer>>,
    /// Acceptances asked for in rounds that are over: they may still reach an acceptor.
    pub late: Shared<Vec<Shared<ConsensusRequest>>>,
    /// The memberships that were committed, oldest first.
    pub memberships: Shared<Vec<CoreMembership>>,
    /// The longest body that any client was answered with.
    pub acknowledged: Shared<Vec<u8>>,
    pub restarts_left: u8,
    pub wipes_left: u8,
}

impl State {
    /// Returns the membership that was committed last.
    pub fn newest_membership(&self) -> &CoreMembership {
        self.memberships.last().expect("a first membership")
    }

    /// Returns the highest term that an acceptor prepared.
    pub fn highest_term(&self) -> u64 {
        let registers = self.replicas.iter().filter_map(|replica| replica.acceptor.registers.get(KEY));
        registers.map(|register| register.prepared.term).max().unwrap_or_default()
    }

    /// Replicas that may not vote.
    pub fn non_voting(&self) -> usize {
        self.replicas.iter().filter(|replica| !replica.acceptor.may_vote).count()
    }
}

impl Model {
    /// All machines in touch and idle, with what the scenario says was acknowledged before.
    pub fn initial_state(&self) -> State {
        let list = (0..self.scenario.member_count).map(machines::member).collect();
        let membership = CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        let acceptor = Acceptor { membership: membership.clone(), may_vote: true, ..Default::default() };
        let replica = Shared::new(Replica { acceptor: Shared::new(acceptor), ..Replica::default() });
        let idle =
            |workload: &Workload| Shared::new(Proposer { attempts_left: workload.attempts, ..Proposer::default() });
        let mut state = State {
            now: 0,
            replicas: vec![replica; self.scenario.machines],
            proposers: self.scenario.proposers.iter().map(idle).collect(),
            late: Shared::new(Vec::new()),
            memberships: Shared::new(vec![membership]),
            acknowledged: Shared::new(Vec::new()),
            restarts_left: self.scenario.restarts,
            wipes_left: self.scenario.wipes,
        };
        if let Some(change) = &self.scenario.membership_change {
            let attempts_left = COORDINATOR_ATTEMPTS;
            let coordinator = Proposer { attempts_left, coordinates: true, ..Proposer::default() };
            state.proposers.extend(iter::repeat_n(Shared::new(coordinator), change.coordinators));
        }
        self.run_earlier_operation(&mut state);
        self.leave_incomplete_write(&mut state);
        state
    }

    fn leave_incomplete_write(&self, state: &mut State) {
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
        let Progress::Finished { answer, ownership: owner, .. } = progress else { panic!("no quorum") };
        state.acknowledged = Shared::new(answer);
        if let Some(first) = state.proposers.first_mut().filter(|proposer| !proposer.coordinates) {
            first.edit(|proposer| proposer.ownership = Some(owner));
        }
    }
}
