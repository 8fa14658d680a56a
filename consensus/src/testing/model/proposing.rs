//! Proposers: they begin proposals, count responses, finish and restart.
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

/// An upper bound on the incarnations of a proposer.
const INCARNATIONS: u64 = 16;

fn replica_id(proposer: usize, incarnation: u64) -> u64 {
    proposer as u64 * INCARNATIONS + incarnation
}

/// Returns the proposal number of a request, if it has one.
pub fn proposal_number(requested: &ConsensusOperation) -> Option<ProposalNumber> {
    match requested {
        ConsensusOperation::Prepare { proposal_number, .. } => Some(*proposal_number),
        ConsensusOperation::Accept { entry, .. } => Some(entry.proposal_number),
        _ => None,
    }
}

impl Model {
    /// Adds the next actions of the proposers.
    pub fn propose(&self, state: &State, successors: &mut Vec<Successor>) {
        for proposer in 0..state.proposers.len() {
            self.begin(state, proposer, successors);
            self.count(state, proposer, successors);
            self.restart(state, proposer, successors);
        }
    }

    /// Returns the purpose of the proposer's next proposal, if it has anything left to do.
    fn purpose(&self, state: &State, index: usize) -> Option<Purpose> {
        let proposer = &state.proposers[index];
        if proposer.is_coordinator {
            let needs_recommit = self
                .transition(state, index)
                .is_some_and(|transition| transition.remaining_keys().iter().any(|key| key == KEY));
            return needs_recommit.then_some(Purpose::Recommit);
        }
        self.scenario.proposers[index].operations.get(proposer.done).copied().map(Purpose::Operation)
    }

    /// Adds the start of the next proposal: under the proposer's next term or one above the highest term, in case the
    /// proposer has learned it; and with the membership that it knows or any newer one, in case it has learned that.
    fn begin(&self, state: &State, index: usize, successors: &mut Vec<Successor>) {
        let proposer = &state.proposers[index];
        let Some(purpose) = self.purpose(state, index) else { return };
        if proposer.attempts_left == 0 {
            return;
        }
        let newest = if proposer.is_coordinator { proposer.membership } else { state.memberships.len() - 1 };
        for membership in proposer.membership..=newest {
            for term in terms(state, proposer, &state.memberships[membership]) {
                let action = Action::Begin { proposer: index, term, membership };
                successors
                    .push(Successor { action, outcome: self.begin_under(state, index, purpose, term, membership) });
            }
        }
    }

    fn begin_under(
        &self,
        state: &State,
        index: usize,
        purpose: Purpose,
        term: u64,
        membership: usize,
    ) -> Result<State, Violation> {
        let proposer = &state.proposers[index];
        let ownership = proposer.ownership.clone().filter(|_| purpose != Purpose::Recommit);
        let mut next = state.clone();
        next.end_task(index);
        next.proposers[index].edit(|proposer| {
            (proposer.attempts_left, proposer.term, proposer.ownership) = (proposer.attempts_left - 1, term, None);
            proposer.learn_membership(membership);
        });
        if let Some(owner) = ownership.clone().filter(|_| self.answers_from_memory(purpose)) {
            return self.finish(next, index, purpose, &state.acknowledged, owner.entry.body.clone(), owner);
        }
        let operation = purpose.operation();
        let proposal_number = ProposalNumber { term, replica_id: replica_id(index, proposer.incarnation) };
        let mut decide = |body: &[u8]| operation.decide(body);
        let membership = &state.memberships[membership];
        let (proposal, requested) =
            Proposal::start(KEY, membership, ownership, proposal_number, &mut decide, state.now);
        if matches!(requested, ConsensusOperation::Prepare { .. }) && state.is_used(proposal_number) {
            return Err(Violation::ConflictingOwners { proposal_number });
        }
        let task = Task {
            purpose,
            proposal: Shared::new(proposal),
            request: Shared::new(ConsensusRequest { membership: membership.clone(), operation: requested }),
            responses: Default::default(),
            acknowledged_before: state.acknowledged.clone(),
        };
        next.proposers[index].edit(|proposer| proposer.task = Some(task));
        Ok(next)
    }

    fn answers_from_memory(&self, purpose: Purpose) -> bool {
        self.has_defect(Defect::ReadFromMemory) && purpose == Purpose::Operation(Operation::Read)
    }

    /// Adds the counting of a quorum's responses, for each minimal quorum that has responded.
    fn count(&self, state: &State, index: usize, successors: &mut Vec<Successor>) {
        let Some(task) = &state.proposers[index].task else { return };
        let responded: MachineSet = task.responses.keys().copied().collect();
        let info = self.membership_info(&task.request.membership);
        for quorum in &info.quorums {
            let missing: Vec<usize> = quorum.iter().filter(|machine| !responded.contains(*machine)).collect();
            let mut responses: Vec<(usize, Shared<ConsensusResponse>)> =
                quorum.iter().filter_map(|machine| Some((machine, task.responses.get(&machine)?.clone()))).collect();
            match missing[..] {
                [] => {}
                [machine] if self.has_defect(Defect::QuorumOneShort) => {
                    responses.push((machine, forged_response(&task.request.operation)))
                }
                _ => continue,
            }
            let action = Action::Count { proposer: index, machines: *quorum };
            successors.push(Successor { action, outcome: self.count_responses(state.clone(), index, &responses) });
        }
    }

    /// Lets a proposer handle these responses, the last of which must complete its phase.
    pub fn count_responses(
        &self,
        state: State,
        index: usize,
        responses: &[(usize, Shared<ConsensusResponse>)],
    ) -> Result<State, Violation> {
        let task = state.proposers[index].task.clone().expect("the proposer has a task");
        let mut proposal = Proposal::clone(&task.proposal);
        let operation = task.purpose.operation();
        let mut decide = |body: &[u8]| operation.decide(body);
        let mut progress = Progress::Wait;
        for (machine, response) in responses {
            progress = proposal.handle_response(
                &self.addresses[*machine],
                ConsensusResponse::clone(response),
                &mut decide,
                state.now,
            );
        }
        self.advance(state, index, Task { proposal: Shared::new(proposal), ..task }, progress)
    }

    fn advance(
        &self,
        mut state: State,
        index: usize,
        task: Task,
        progress: Progress<Vec<u8>>,
    ) -> Result<State, Violation> {
        state.end_task(index);
        match progress {
            Progress::Wait => return Err(Violation::NoProgress("the responses of a quorum did not complete a phase")),
            Progress::Send(requested) => {
                let request =
                    Shared::new(ConsensusRequest { membership: task.request.membership.clone(), operation: requested });
                let task = Task { request, responses: Default::default(), ..task };
                state.proposers[index].edit(|proposer| proposer.task = Some(task));
            }
            Progress::Finished { answer, ownership: owner, .. } => {
                return self.finish(state, index, task.purpose, &task.acknowledged_before, answer, owner);
            }
            Progress::Superseded(proposal_number) => {
                state.proposers[index].edit(|proposer| proposer.term = proposer.term.max(proposal_number.term));
            }
            Progress::NewerMembership(membership) => {
                let known = state.memberships.iter().position(|known| *known == membership).unwrap_or_default();
                state.proposers[index].edit(|proposer| proposer.learn_membership(known));
            }
        }
        Ok(state)
    }

    /// Answers the client. The answer must include everything that was acknowledged before the request, and must belong
    /// to the single history.
    fn finish(
        &self,
        mut state: State,
        index: usize,
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
                return Err(Violation::MissingChange { change, body: answer });
            }
        }
        state.proposers[index].edit(|proposer| match purpose {
            Purpose::Operation(_) => (proposer.done, proposer.ownership) = (proposer.done + 1, Some(owner)),
            Purpose::Recommit => drop(proposer.transition.recommitted.insert(KEY.into())),
        });
        if answer.len() > state.acknowledged.len() {
            state.acknowledged.edit(|acknowledged| *acknowledged = answer);
        }
        Ok(state)
    }
}

/// Returns the terms under which a proposer may begin, depending on whether it has learned the highest one.
fn terms(state: &State, proposer: &Proposer, membership: &CoreMembership) -> Vec<u64> {
    let next = next_term(proposer.term, membership);
    let above_all = next_term(proposer.term.max(state.highest_term()), membership);
    match above_all > next && proposer.ownership.is_none() {
        true => vec![next, above_all],
        false => vec![next],
    }
}

/// A response that no acceptor sent.
fn forged_response(requested: &ConsensusOperation) -> Shared<ConsensusResponse> {
    Shared::new(match requested {
        ConsensusOperation::Prepare { .. } => ConsensusResponse::Prepared { entry: None },
        _ => ConsensusResponse::Accepted,
    })
}

impl Proposer {
    /// Adopts a newer membership, whose transition starts from the beginning.
    pub fn learn_membership(&mut self, membership: usize) {
        if membership > self.membership {
            (self.membership, self.transition) = (membership, Default::default());
        }
    }
}
