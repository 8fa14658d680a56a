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

/// How often a key may be begun to be committed again under a changed core.
const COORDINATOR_ATTEMPTS: u8 = 1;
/// The change that may have been left half done before the exploration begins.
const HALF_DONE_CHANGE: u8 = 8;

/// One voter and its disk, which hold the same between two polls: a vote leaves only once it is on disk, and
/// polls that a crash loses are polls that did not come. Its address is put in for each call, so that
/// interchangeable replicas are equal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Replica {
    pub voter: Shared<Acceptor>,
    /// When it lost its disk, as long as it may not vote again.
    pub wiped_at: Option<u64>,
    /// What it read of others since, in order to vote again.
    pub reads: BTreeMap<usize, Vec<RegisterState>>,
}

/// What a proposal is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    Operation(Operation),
    /// The key is committed again under a changed core.
    Renewal,
}

impl Purpose {
    pub fn operation(self) -> Operation {
        match self {
            Purpose::Operation(operation) => operation,
            Purpose::Renewal => Operation::Read,
        }
    }
}

/// A proposal under way. Votes are under way until those of a quorum are counted at once: counting them one by
/// one changes nothing that others can see before the last one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Task {
    pub purpose: Purpose,
    pub proposal: Shared<Proposal<Vec<u8>>>,
    /// The present poll, on its way to every member.
    pub poll: Shared<ConsensusRequest>,
    pub votes: BTreeMap<usize, Shared<ConsensusResponse>>,
    /// What was acknowledged when the proposal began: its answer must hold it.
    pub acknowledged_before: Shared<Vec<u8>>,
}

/// The settlement of a changed core, from which the real one is built when it is asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct SettlementRecord {
    /// Votes of those that were told of the core.
    pub heard: BTreeMap<usize, Shared<ConsensusResponse>>,
    pub renewed: BTreeSet<String>,
}

/// A process that proposes changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Proposer {
    pub life: u64,
    pub turn: u64,
    /// The core that it knows, as an index of the committed ones.
    pub core: usize,
    /// How many of its operations are done.
    pub done: usize,
    pub attempts_left: u8,
    pub held: Option<Ownership>,
    pub task: Option<Task>,
    /// This one coordinates changes of the core.
    pub coordinates: bool,
    pub settlement: SettlementRecord,
}

#[derive(Clone, Debug, Hash)]
pub struct State {
    pub now: u64,
    pub replicas: Vec<Shared<Replica>>,
    pub proposers: Vec<Shared<Proposer>>,
    /// Acceptances asked for in rounds that are over: they may still reach a voter.
    pub late: Shared<Vec<Shared<ConsensusRequest>>>,
    /// The cores that were committed, oldest first.
    pub cores: Shared<Vec<CoreMembership>>,
    /// The longest body that any client was answered with.
    pub acknowledged: Shared<Vec<u8>>,
    pub restarts_left: u8,
    pub wipes_left: u8,
}

impl State {
    pub fn newest_core(&self) -> &CoreMembership {
        self.cores.last().expect("a first core")
    }

    /// The highest turn that a voter promised.
    pub fn highest_turn(&self) -> u64 {
        let slots = self.replicas.iter().filter_map(|replica| replica.voter.registers.get(KEY));
        slots.map(|slot| slot.prepared.term).max().unwrap_or_default()
    }

    /// Replicas that may not vote.
    pub fn mute(&self) -> usize {
        self.replicas.iter().filter(|replica| !replica.voter.may_vote).count()
    }
}

impl Model {
    /// All machines in touch and idle, with what the scenario says was acknowledged before.
    pub fn initial_state(&self) -> State {
        let list = (0..self.scenario.core_size).map(machines::member).collect();
        let core = CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        let voter = Acceptor { membership: core.clone(), may_vote: true, ..Default::default() };
        let replica = Shared::new(Replica { voter: Shared::new(voter), ..Replica::default() });
        let idle =
            |workload: &Workload| Shared::new(Proposer { attempts_left: workload.attempts, ..Proposer::default() });
        let mut state = State {
            now: 0,
            replicas: vec![replica; self.scenario.machines],
            proposers: self.scenario.proposers.iter().map(idle).collect(),
            late: Shared::new(Vec::new()),
            cores: Shared::new(vec![core]),
            acknowledged: Shared::new(Vec::new()),
            restarts_left: self.scenario.restarts,
            wipes_left: self.scenario.wipes,
        };
        if let Some(change) = &self.scenario.core_change {
            let attempts_left = COORDINATOR_ATTEMPTS;
            let coordinator = Proposer { attempts_left, coordinates: true, ..Proposer::default() };
            state.proposers.extend(iter::repeat_n(Shared::new(coordinator), change.coordinators));
        }
        self.do_first(&mut state);
        self.leave_half_done(&mut state);
        state
    }

    fn leave_half_done(&self, state: &mut State) {
        let Some(half_done) = self.scenario.left_half_done else { return };
        let core = state.newest_core().clone();
        let ballot = ProposalNumber { term: next_term(state.highest_turn(), &core), replica_id: u64::MAX };
        let entry = Entry { proposal_number: ballot, index: 1, body: vec![HALF_DONE_CHANGE] };
        let prepare = ConsensusOperation::Prepare { key: KEY.into(), proposal_number: ballot };
        let accept = ConsensusOperation::Accept { key: KEY.into(), entry };
        for (ask, machines) in [(prepare, half_done.promised_by), (accept, half_done.accepted_by)] {
            let poll = Shared::new(ConsensusRequest { membership: core.clone(), operation: ask });
            for machine in machines.iter() {
                let answer = self.poll(machine, &state.replicas[machine].voter, &poll).expect("no violation");
                state.put_voter(machine, answer.voter);
            }
        }
    }

    fn do_first(&self, state: &mut State) {
        let Some((operation, machines)) = self.scenario.done_before else { return };
        let core = state.newest_core().clone();
        let progress = self.run(state, &core, machines, operation).expect("no violation");
        let Progress::Finished { answer, ownership: owner, .. } = progress else { panic!("no quorum") };
        state.acknowledged = Shared::new(answer);
        if let Some(first) = state.proposers.first_mut().filter(|proposer| !proposer.coordinates) {
            first.edit(|proposer| proposer.held = Some(owner));
        }
    }
}
