//! Proposals that end or are given up, and proposers that restart.
use super::action::{Action, Successor};
use super::scenario::Defect;
use super::state::{Proposer, State, Task};
use super::{Model, KEY};
use protocol::message::{ConsensusOperation, ConsensusRequest, Position, ProposalNumber};

impl Model {
    /// A proposer loses what it has in memory. What it knows of the core may be old, too.
    pub fn restart(&self, state: &State, at: usize, list: &mut Vec<Successor>) {
        let old = &state.proposers[at];
        if state.restarts_left == 0 || (old.task.is_none() && old.held.is_none()) {
            return;
        }
        let mut next = state.clone();
        next.end_task(at);
        next.restarts_left -= 1;
        let life = if self.has(Defect::BallotsUsedAgain) { old.life } else { old.life + 1 };
        let (done, attempts_left, coordinates) = (old.done, old.attempts_left, old.coordinates);
        let fresh = Proposer { life, done, attempts_left, coordinates, ..Proposer::default() };
        next.proposers[at].edit(|proposer| *proposer = fresh);
        list.push(Successor { action: Action::Restart { proposer: at }, outcome: Ok(next) });
    }
}

impl State {
    pub fn edit_task(&mut self, proposer: usize, change: impl FnOnce(&mut Task)) {
        self.proposers[proposer].edit(|proposer| change(proposer.task.as_mut().expect("a task")));
    }

    /// The proposer counts no more votes on its present poll, which may still reach voters. Late preparations
    /// are left out: with nobody to count the promise they only make voters refuse more.
    pub fn end_task(&mut self, at: usize) {
        let Some(task) = &self.proposers[at].task else { return };
        if matches!(task.poll.operation, ConsensusOperation::Accept { .. }) {
            let poll = task.poll.clone();
            self.late.edit(|late| {
                if !late.contains(&poll) {
                    late.push(poll);
                    late.sort_by_key(|poll| (poll.membership.version, poll.membership.stable, accepted_place(poll)));
                }
            });
        }
        self.proposers[at].edit(|proposer| proposer.task = None);
    }

    /// Was this ballot seen by any voter before?
    pub fn is_used(&self, ballot: ProposalNumber) -> bool {
        let slots = self.replicas.iter().filter_map(|replica| replica.voter.registers.get(KEY));
        slots.into_iter().any(|slot| slot.prepared == ballot)
    }
}

fn accepted_place(poll: &ConsensusRequest) -> Option<Position> {
    match &poll.operation {
        ConsensusOperation::Accept { entry, .. } => Some(entry.position()),
        _ => None,
    }
}
