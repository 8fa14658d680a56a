//! Proposals that end or are given up, and proposers that restart.
use super::action::{Action, Successor};
use super::scenario::Defect;
use super::state::{Proposer, State, Task};
use super::{Model, KEY};
use protocol::message::{ConsensusOperation, ConsensusRequest, Position, ProposalNumber};

impl Model {
    /// A proposer loses what it has in memory. What it knows of the membership may be old, too.
    pub fn restart(&self, state: &State, at: usize, list: &mut Vec<Successor>) {
        let old = &state.proposers[at];
        if state.restarts_left == 0 || (old.task.is_none() && old.ownership.is_none()) {
            return;
        }
        let mut next = state.clone();
        next.end_task(at);
        next.restarts_left -= 1;
        let incarnation = if self.has(Defect::ProposalNumbersReused) { old.incarnation } else { old.incarnation + 1 };
        let (done, attempts_left, coordinates) = (old.done, old.attempts_left, old.coordinates);
        let fresh = Proposer { incarnation, done, attempts_left, coordinates, ..Proposer::default() };
        next.proposers[at].edit(|proposer| *proposer = fresh);
        list.push(Successor { action: Action::Restart { proposer: at }, outcome: Ok(next) });
    }
}

impl State {
    /// Changes the proposal under way.
    pub fn edit_task(&mut self, proposer: usize, change: impl FnOnce(&mut Task)) {
        self.proposers[proposer].edit(|proposer| change(proposer.task.as_mut().expect("a task")));
    }

    /// The proposer counts no more responses to its present request, which may still reach acceptors. Late preparations
    /// are left out: with nobody to count the responses they only make acceptors reject more.
    pub fn end_task(&mut self, at: usize) {
        let Some(task) = &self.proposers[at].task else { return };
        if matches!(task.request.operation, ConsensusOperation::Accept { .. }) {
            let request = task.request.clone();
            self.late.edit(|late| {
                if !late.contains(&request) {
                    late.push(request);
                    late.sort_by_key(|request| {
                        (request.membership.version, request.membership.stable, accepted_position(request))
                    });
                }
            });
        }
        self.proposers[at].edit(|proposer| proposer.task = None);
    }

    /// Was this proposal number seen by any acceptor before?
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
