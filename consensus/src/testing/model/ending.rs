//! Proposals that end or are abandoned, and proposers that restart.
use super::action::{Action, Successor};
use super::scenario::Defect;
use super::state::{Proposer, State, Task};
use super::{Model, KEY};
use protocol::message::{ConsensusOperation, ConsensusRequest, Position, ProposalNumber};

impl Model {
    /// Adds the restart of a proposer, which loses its memory. The membership that it knows then may be outdated.
    pub fn restart(&self, state: &State, index: usize, successors: &mut Vec<Successor>) {
        let old = &state.proposers[index];
        if state.restarts_left == 0 || (old.task.is_none() && old.ownership.is_none()) {
            return;
        }
        let mut next = state.clone();
        next.end_task(index);
        next.restarts_left -= 1;
        let incarnation =
            if self.has_defect(Defect::ProposalNumbersReused) { old.incarnation } else { old.incarnation + 1 };
        let (done, attempts_left, is_coordinator) = (old.done, old.attempts_left, old.is_coordinator);
        let fresh = Proposer { incarnation, done, attempts_left, is_coordinator, ..Proposer::default() };
        next.proposers[index].edit(|proposer| *proposer = fresh);
        successors.push(Successor { action: Action::Restart { proposer: index }, outcome: Ok(next) });
    }
}

impl State {
    /// Changes the current task of a proposer.
    pub fn edit_task(&mut self, proposer: usize, change: impl FnOnce(&mut Task)) {
        self.proposers[proposer].edit(|proposer| change(proposer.task.as_mut().expect("the proposer has a task")));
    }

    /// Ends the current task of a proposer. It counts no more responses to its request, but an accept request may still
    /// reach acceptors. Late prepare requests are left out: since nobody counts the responses, their only effect is
    /// that acceptors reject more.
    pub fn end_task(&mut self, index: usize) {
        let Some(task) = &self.proposers[index].task else { return };
        if matches!(task.request.operation, ConsensusOperation::Accept { .. }) {
            let request = task.request.clone();
            self.late_requests.edit(|late| {
                if !late.contains(&request) {
                    late.push(request);
                    late.sort_by_key(|request| {
                        (request.membership.version, request.membership.stable, accepted_position(request))
                    });
                }
            });
        }
        self.proposers[index].edit(|proposer| proposer.task = None);
    }

    /// Returns whether an acceptor holds this proposal number as its prepared one.
    pub fn is_used(&self, proposal_number: ProposalNumber) -> bool {
        let registers = self.replicas.iter().filter_map(|replica| replica.acceptor.registers.get(KEY));
        registers.into_iter().any(|register| register.prepared == proposal_number)
    }
}

fn accepted_position(request: &ConsensusRequest) -> Option<Position> {
    match &request.operation {
        ConsensusOperation::Accept { entry, .. } => Some(entry.position()),
        _ => None,
    }
}
