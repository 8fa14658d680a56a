//! Proposers: beginning, counting votes, ending, restarting.
use super::action::{Action, Successor};
use super::machines::MachineSet;
use super::scenario::{Defect, Operation};
use super::shared::Shared;
use super::state::{Proposer, Purpose, State, Task};
use super::violation::Violation;
use super::{Model, KEY};
use crate::proposal::{Progress, Proposal};
use crate::round::{next_term, Ownership};
use protocol::message::{ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, ProposalNumber};

/// More lives than any proposer has.
const LIVES: u64 = 16;

fn seat(proposer: usize, life: u64) -> u64 {
    proposer as u64 * LIVES + life
}

/// The ballot that a poll is sent under.
pub fn ballot(ask: &ConsensusOperation) -> Option<ProposalNumber> {
    match ask {
        ConsensusOperation::Prepare { proposal_number: ballot, .. } => Some(*ballot),
        ConsensusOperation::Accept { entry, .. } => Some(entry.proposal_number),
        _ => None,
    }
}

impl Model {
    pub fn propose(&self, state: &State, list: &mut Vec<Successor>) {
        for proposer in 0..state.proposers.len() {
            self.begin(state, proposer, list);
            self.count(state, proposer, list);
            self.restart(state, proposer, list);
        }
    }

    /// What this proposer has to do next.
    fn purpose(&self, state: &State, at: usize) -> Option<Purpose> {
        let proposer = &state.proposers[at];
        if proposer.coordinates {
            let left = self
                .settlement(state, at)
                .is_some_and(|settlement| settlement.remaining_keys().iter().any(|key| key == KEY));
            return left.then_some(Purpose::Renewal);
        }
        self.scenario.proposers[at].operations.get(proposer.done).copied().map(Purpose::Operation)
    }

    /// Begins the next proposal: under the next turn or, if it heard of one by now, above the highest; with the
    /// core that it knows or, if it heard of one by now, a newer one.
    fn begin(&self, state: &State, at: usize, list: &mut Vec<Successor>) {
        let proposer = &state.proposers[at];
        let Some(purpose) = self.purpose(state, at) else { return };
        if proposer.attempts_left == 0 {
            return;
        }
        let newest = if proposer.coordinates { proposer.core } else { state.cores.len() - 1 };
        for core in proposer.core..=newest {
            for turn in turns(state, proposer, &state.cores[core]) {
                let action = Action::Begin { proposer: at, turn, core };
                list.push(Successor { action, outcome: self.begin_under(state, at, purpose, turn, core) });
            }
        }
    }

    fn begin_under(
        &self,
        state: &State,
        at: usize,
        purpose: Purpose,
        turn: u64,
        core: usize,
    ) -> Result<State, Violation> {
        let proposer = &state.proposers[at];
        let held = proposer.held.clone().filter(|_| purpose != Purpose::Renewal);
        let mut next = state.clone();
        next.end_task(at);
        next.proposers[at].edit(|proposer| {
            (proposer.attempts_left, proposer.turn, proposer.held) = (proposer.attempts_left - 1, turn, None);
            proposer.know_core(core);
        });
        if let Some(owner) = held.clone().filter(|_| self.answers_from_memory(purpose)) {
            return self.finish(next, at, purpose, &state.acknowledged, owner.entry.body.clone(), owner);
        }
        let operation = purpose.operation();
        let ballot = ProposalNumber { term: turn, replica_id: seat(at, proposer.life) };
        let mut judge = |body: &[u8]| operation.judge(body);
        let core = &state.cores[core];
        let (proposal, ask) = Proposal::start(KEY, core, held, ballot, &mut judge, state.now);
        if matches!(ask, ConsensusOperation::Prepare { .. }) && state.is_used(ballot) {
            return Err(Violation::TwoOwners { ballot });
        }
        let task = Task {
            purpose,
            proposal: Shared::new(proposal),
            poll: Shared::new(ConsensusRequest { membership: core.clone(), operation: ask }),
            votes: Default::default(),
            acknowledged_before: state.acknowledged.clone(),
        };
        next.proposers[at].edit(|proposer| proposer.task = Some(task));
        Ok(next)
    }

    fn answers_from_memory(&self, purpose: Purpose) -> bool {
        self.has(Defect::ReadFromMemory) && purpose == Purpose::Operation(Operation::Read)
    }

    /// Counts the votes of a quorum, for each smallest one whose votes are there.
    fn count(&self, state: &State, at: usize, list: &mut Vec<Successor>) {
        let Some(task) = &state.proposers[at].task else { return };
        let voted: MachineSet = task.votes.keys().copied().collect();
        let facts = self.core_facts(&task.poll.membership);
        for quorum in &facts.quorums {
            let absent: Vec<usize> = quorum.iter().filter(|machine| !voted.contains(*machine)).collect();
            let mut votes: Vec<(usize, Shared<ConsensusResponse>)> =
                quorum.iter().filter_map(|machine| Some((machine, task.votes.get(&machine)?.clone()))).collect();
            match absent[..] {
                [] => {}
                [machine] if self.has(Defect::QuorumOneShort) => {
                    votes.push((machine, invented_vote(&task.poll.operation)))
                }
                _ => continue,
            }
            let action = Action::Count { proposer: at, machines: *quorum };
            list.push(Successor { action, outcome: self.hear(state.clone(), at, &votes) });
        }
    }

    /// A proposer hears these votes, the last of which is to bring it on.
    pub fn hear(
        &self,
        state: State,
        at: usize,
        votes: &[(usize, Shared<ConsensusResponse>)],
    ) -> Result<State, Violation> {
        let task = state.proposers[at].task.clone().expect("a task");
        let mut proposal = Proposal::clone(&task.proposal);
        let operation = task.purpose.operation();
        let mut judge = |body: &[u8]| operation.judge(body);
        let mut progress = Progress::Wait;
        for (machine, vote) in votes {
            progress = proposal.handle_response(
                &self.addresses[*machine],
                ConsensusResponse::clone(vote),
                &mut judge,
                state.now,
            );
        }
        self.advance(state, at, Task { proposal: Shared::new(proposal), ..task }, progress)
    }

    fn advance(
        &self,
        mut state: State,
        at: usize,
        task: Task,
        progress: Progress<Vec<u8>>,
    ) -> Result<State, Violation> {
        state.end_task(at);
        match progress {
            Progress::Wait => return Err(Violation::Stuck("the votes of a quorum did not bring a round on")),
            Progress::Send(ask) => {
                let poll = Shared::new(ConsensusRequest { membership: task.poll.membership.clone(), operation: ask });
                let task = Task { poll, votes: Default::default(), ..task };
                state.proposers[at].edit(|proposer| proposer.task = Some(task));
            }
            Progress::Finished { answer, ownership: owner, .. } => {
                return self.finish(state, at, task.purpose, &task.acknowledged_before, answer, owner);
            }
            Progress::Superseded(ballot) => {
                state.proposers[at].edit(|proposer| proposer.turn = proposer.turn.max(ballot.term));
            }
            Progress::NewerMembership(core) => {
                let known = state.cores.iter().position(|known| *known == core).unwrap_or_default();
                state.proposers[at].edit(|proposer| proposer.know_core(known));
            }
        }
        Ok(state)
    }

    /// The client is answered: with all that was acknowledged before it asked, and on one line of history.
    fn finish(
        &self,
        mut state: State,
        at: usize,
        purpose: Purpose,
        before: &[u8],
        answer: Vec<u8>,
        owner: Ownership,
    ) -> Result<State, Violation> {
        let lost = |acknowledged: &[u8]| Violation::Lost { acknowledged: acknowledged.into(), found: answer.clone() };
        if !answer.starts_with(before) {
            return Err(lost(before));
        }
        if !answer.starts_with(&state.acknowledged) && !state.acknowledged.starts_with(&answer) {
            return Err(lost(&state.acknowledged));
        }
        if let Purpose::Operation(Operation::Write(change)) = purpose {
            if !answer.contains(&change) {
                return Err(Violation::NotTaken { change, body: answer });
            }
        }
        state.proposers[at].edit(|proposer| match purpose {
            Purpose::Operation(_) => (proposer.done, proposer.held) = (proposer.done + 1, Some(owner)),
            Purpose::Renewal => drop(proposer.settlement.renewed.insert(KEY.into())),
        });
        if answer.len() > state.acknowledged.len() {
            state.acknowledged.edit(|acknowledged| *acknowledged = answer);
        }
        Ok(state)
    }
}

/// The turns that a proposer may begin under: it heard of the highest one by now, or not.
fn turns(state: &State, proposer: &Proposer, core: &CoreMembership) -> Vec<u64> {
    let next = next_term(proposer.turn, core);
    let above_all = next_term(proposer.turn.max(state.highest_turn()), core);
    match above_all > next && proposer.held.is_none() {
        true => vec![next, above_all],
        false => vec![next],
    }
}

/// A vote that nobody gave.
fn invented_vote(ask: &ConsensusOperation) -> Shared<ConsensusResponse> {
    Shared::new(match ask {
        ConsensusOperation::Prepare { .. } => ConsensusResponse::Prepared { entry: None },
        _ => ConsensusResponse::Accepted,
    })
}

impl Proposer {
    pub fn know_core(&mut self, core: usize) {
        if core > self.core {
            (self.core, self.settlement) = (core, Default::default());
        }
    }
}
