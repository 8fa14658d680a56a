//! Lost disks, and acceptors that read the others before they vote again.

use protocol::message::{ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership};

use super::action::{Action, Successor};
use super::scenario::{Defect, Scenario};
use super::shared::Shared;
use super::state::{Replica, State};
use super::violation::Violation;
use super::Model;
use crate::acceptor::{Acceptor, LogRecord};
use crate::{quorum, RECOVERY_DELAY_MS, ROUND_TIMEOUT_MS};

/// The time step of the model, in milliseconds. A round that began when a disk was lost is over when the acceptor reads
/// the others; a round that began one step later is not.
const STEP_MS: u64 = RECOVERY_DELAY_MS / 2;
const _: () = assert!(STEP_MS < ROUND_TIMEOUT_MS && ROUND_TIMEOUT_MS <= 2 * STEP_MS);

impl Model {
    /// Adds losses of disks, and the next actions of acceptors in recovery.
    pub fn recover(&self, state: &State, successors: &mut Vec<Successor>) {
        self.elapse(state, successors);
        for machine in 0..state.replicas.len() {
            self.wipe(state, machine, successors);
            if !state.replicas[machine].acceptor.may_vote {
                self.learn(state, machine, successors);
                self.read(state, machine, successors);
            }
        }
    }

    /// Adds the loss of a disk, if the membership tolerates it.
    fn wipe(&self, state: &State, machine: usize, successors: &mut Vec<Successor>) {
        let tolerated = Scenario::tolerated_losses(state.newest_membership().members.len());
        let before = &state.replicas[machine].acceptor;
        let loses_state = !before.registers.is_empty() || before.membership != state.memberships[0];
        if state.wipes_left == 0 || !before.may_vote || !loses_state || state.non_voting() >= tolerated {
            return;
        }
        for membership in 0..state.memberships.len() {
            let mut acceptor = Acceptor { membership: state.memberships[membership].clone(), ..Acceptor::default() };
            if self.has_defect(Defect::WipedVotesAtOnce) {
                (acceptor.membership, acceptor.may_vote) = (before.membership.clone(), true);
            }
            let wiped_at = (!acceptor.may_vote).then_some(state.now);
            let wiped = Replica { acceptor: Shared::new(acceptor), wiped_at, reads: Default::default() };
            let mut next = state.clone();
            next.wipes_left -= 1;
            next.replicas[machine].edit(|replica| *replica = wiped);
            successors.push(Successor { action: Action::Wipe { machine, membership }, outcome: Ok(next) });
        }
    }

    fn is_ready_to_read(&self, replica: &Replica, now: u64) -> bool {
        let delay = if self.has_defect(Defect::RecoveryWithoutDelay) { 0 } else { RECOVERY_DELAY_MS };
        replica.wiped_at.is_some_and(|wiped_at| now >= wiped_at + delay)
    }

    /// Adds the passing of time, which matters only to acceptors that wait before they read the others.
    fn elapse(&self, state: &State, successors: &mut Vec<Successor>) {
        let is_waiting = |replica: &Replica| replica.wiped_at.is_some() && !self.is_ready_to_read(replica, state.now);
        if !state.replicas.iter().any(|replica| is_waiting(replica)) {
            return;
        }
        let mut next = state.clone();
        next.now += STEP_MS;
        for index in 0..next.proposers.len() {
            if next.proposers[index].task.as_ref().is_some_and(|task| task.proposal.is_expired(next.now)) {
                next.end_task(index);
            }
        }
        successors.push(Successor { action: Action::Elapse, outcome: Ok(next) });
    }

    fn learn(&self, state: &State, machine: usize, successors: &mut Vec<Successor>) {
        for (membership, committed) in state.memberships.iter().enumerate() {
            let mut next = state.clone();
            if next.notify(machine, committed) {
                successors
                    .push(Successor { action: Action::LearnMembership { machine, membership }, outcome: Ok(next) });
            }
        }
    }

    /// Adds reads of other acceptors. The acceptor votes again once it has read enough of them.
    fn read(&self, state: &State, machine: usize, successors: &mut Vec<Successor>) {
        let replica = &state.replicas[machine];
        if !self.is_ready_to_read(replica, state.now) {
            return;
        }
        for from in self.recovery_peers(machine, &replica.acceptor) {
            if !replica.reads.contains_key(&from) {
                let action = Action::Read { machine, from };
                if let Some(outcome) = self.read_from(state, machine, from).transpose() {
                    successors.push(Successor { action, outcome });
                }
            }
        }
    }

    /// Returns the machines that an acceptor that lost its disk reads.
    pub fn recovery_peers(&self, machine: usize, acceptor: &Acceptor) -> Vec<usize> {
        let reader = Acceptor { ip: self.addresses[machine].clone(), ..Acceptor::clone(acceptor) };
        let recovery_peers = reader.recovery_peers();
        (0..self.addresses.len()).filter(|other| recovery_peers.contains(&self.addresses[*other])).collect()
    }

    /// Lets an acceptor read another one. Returns `None` if the other does not return what was requested.
    pub fn read_from(&self, state: &State, machine: usize, from: usize) -> Result<Option<State>, Violation> {
        let membership = state.replicas[machine].acceptor.membership.clone();
        let is_member = quorum::is_old_or_new_member(&membership, &self.addresses[machine]);
        let requested = if is_member { ConsensusOperation::Snapshot } else { ConsensusOperation::Positions };
        let request = Shared::new(ConsensusRequest { membership: membership.clone(), operation: requested });
        let answer = self.respond(from, &state.replicas[from].acceptor, &request)?;
        let mut next = state.clone();
        next.put_acceptor(from, answer.acceptor);
        match &*answer.response {
            ConsensusResponse::NewerMembership { membership } => {
                next.notify(machine, membership);
                return Ok(Some(next));
            }
            ConsensusResponse::Snapshot { registers } if is_member => {
                next.replicas[machine].edit(|replica| drop(replica.reads.insert(from, registers.clone())));
            }
            ConsensusResponse::Positions { .. } if !is_member => {
                next.replicas[machine].edit(|replica| drop(replica.reads.insert(from, Vec::new())));
            }
            _ => return Ok(None),
        }
        self.resume_voting(&mut next, machine, &membership);
        Ok(Some(next))
    }

    /// Completes recovery if enough others were read.
    fn resume_voting(&self, state: &mut State, machine: usize, membership: &CoreMembership) {
        let replica = &state.replicas[machine];
        let mut acceptor = Acceptor { ip: self.addresses[machine].clone(), ..Acceptor::clone(&replica.acceptor) };
        let read: Vec<String> = replica.reads.keys().map(|from| self.addresses[*from].clone()).collect();
        if quorum::is_old_or_new_member(membership, &acceptor.ip) {
            if !acceptor.has_enough_reads(&read) {
                return;
            }
            if acceptor.recover(replica.reads.values().cloned().collect()).is_none() {
                state.replicas[machine].edit(|replica| replica.reads.clear());
                return;
            }
        } else {
            if !quorum::is_quorum(membership, &read) {
                return;
            }
            acceptor.replay(LogRecord::VotingEnabled);
        }
        acceptor.ip.clear();
        let replica = Replica { acceptor: Shared::new(acceptor), wiped_at: None, reads: Default::default() };
        state.replicas[machine].edit(|current| *current = replica);
    }
}

impl State {
    /// Notifies an acceptor of a committed membership. Returns false if it is not newer than the known one.
    pub fn notify(&mut self, machine: usize, membership: &CoreMembership) -> bool {
        let mut acceptor = Acceptor::clone(&self.replicas[machine].acceptor);
        acceptor.adopt_membership(membership).is_some() && self.put_acceptor(machine, Shared::new(acceptor))
    }
}
