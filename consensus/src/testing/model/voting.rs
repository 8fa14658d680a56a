//! Requests that reach acceptors, during their round or late.

use std::cell::RefCell;
use std::collections::HashMap;

use protocol::message::{ConsensusOperation, ConsensusRequest, ConsensusResponse, Entry, ProposalNumber};

use super::action::{Action, Successor};
use super::proposing::proposal_number;
use super::scenario::Defect;
use super::shared::Shared;
use super::state::State;
use super::violation::Violation;
use super::Model;
use crate::acceptor::Acceptor;

/// The state of an acceptor after a request, and its response.
#[derive(Clone)]
pub struct Answer {
    pub acceptor: Shared<Acceptor>,
    pub response: Shared<ConsensusResponse>,
}

/// The key of a cached answer: the machine and the fingerprints of its acceptor and of the request.
#[derive(PartialEq, Eq, Hash)]
pub struct AnswerKey {
    machine: usize,
    acceptor: u64,
    request: u64,
}

/// The cached answers of acceptors to requests.
pub type AnswerCache = RefCell<HashMap<AnswerKey, Answer>>;

impl Model {
    /// Returns an acceptor's answer to a request. The acceptor is returned both as it is in memory and as a restart
    /// would restore it from disk: the two are checked to be equal.
    pub fn respond(
        &self,
        machine: usize,
        acceptor: &Shared<Acceptor>,
        request: &Shared<ConsensusRequest>,
    ) -> Result<Answer, Violation> {
        let key = AnswerKey { machine, acceptor: acceptor.fingerprint(), request: request.fingerprint() };
        if let Some(known) = self.answers.borrow().get(&key) {
            return Ok(known.clone());
        }
        let (after, response) = self.answer(machine, acceptor, request)?;
        let after = if after == **acceptor { acceptor.clone() } else { Shared::new(after) };
        let answer = Answer { acceptor: after, response: Shared::new(response) };
        self.answers.borrow_mut().insert(key, answer.clone());
        Ok(answer)
    }

    fn answer(
        &self,
        machine: usize,
        acceptor: &Acceptor,
        request: &ConsensusRequest,
    ) -> Result<(Acceptor, ConsensusResponse), Violation> {
        let mut after = Acceptor { ip: self.addresses[machine].clone(), ..acceptor.clone() };
        let accepts_old_proposals = self.has_defect(Defect::OldProposalAccepted);
        if accepts_old_proposals {
            forget_prepared(&mut after, &request.operation);
        }
        let (response, records) = after.handle(request.clone());
        if accepts_old_proposals && matches!(response, ConsensusResponse::Rejected { .. }) {
            return Ok((acceptor.clone(), response));
        }
        after.ip.clear();
        let mut restarted = acceptor.clone();
        if !self.has_defect(Defect::ResponseBeforeSync) {
            records.into_iter().for_each(|record| restarted.replay(record));
        }
        if restarted != after {
            return Err(Violation::NotSynced);
        }
        if !accepts_old_proposals {
            check_only_increases(acceptor, &after)?;
        }
        Ok((after, response))
    }

    /// Adds the deliveries of current and late requests.
    pub fn deliver_requests(&self, state: &State, successors: &mut Vec<Successor>) {
        for proposer in 0..state.proposers.len() {
            self.deliver(state, proposer, successors);
        }
        for request in state.late_requests.iter() {
            self.deliver_late(state, request, successors);
        }
    }

    /// Adds the delivery of a proposer's current request to each member.
    fn deliver(&self, state: &State, proposer: usize, successors: &mut Vec<Successor>) {
        let Some(task) = &state.proposers[proposer].task else { return };
        for machine in self.membership_info(&task.request.membership).members.iter() {
            let action = Action::Deliver { proposer, machine };
            let Answer { acceptor, response } =
                match self.respond(machine, &state.replicas[machine].acceptor, &task.request) {
                    Ok(answer) => answer,
                    Err(violation) => {
                        successors.push(Successor { action, outcome: Err(violation) });
                        continue;
                    }
                };
            let mut next = state.clone();
            let changed = next.put_acceptor(machine, acceptor);
            match &*response {
                // The first response counts; responses to a duplicated request are dropped.
                ConsensusResponse::Prepared { .. } | ConsensusResponse::Accepted
                    if !task.responses.contains_key(&machine) =>
                {
                    next.edit_task(proposer, |task| drop(task.responses.insert(machine, response)));
                    successors.push(Successor { action, outcome: Ok(next) });
                }
                // A rejection that names no higher proposal number than the request's is the response to a duplicate.
                ConsensusResponse::Rejected { prepared }
                    if Some(*prepared) <= proposal_number(&task.request.operation) => {}
                ConsensusResponse::Rejected { .. } | ConsensusResponse::NewerMembership { .. } => {
                    let outcome = self.count_responses(next, proposer, &[(machine, response)]);
                    successors.push(Successor { action: Action::Reject { proposer, machine }, outcome });
                }
                _ if changed => successors.push(Successor { action, outcome: Ok(next) }),
                _ => {}
            }
        }
    }

    fn deliver_late(&self, state: &State, request: &Shared<ConsensusRequest>, successors: &mut Vec<Successor>) {
        let ConsensusOperation::Accept { entry, .. } = &request.operation else { return };
        for machine in self.membership_info(&request.membership).members.iter() {
            let action = Action::DeliverLate { position: entry.position(), machine };
            match self.respond(machine, &state.replicas[machine].acceptor, request) {
                Err(violation) => successors.push(Successor { action, outcome: Err(violation) }),
                Ok(answer) if answer.acceptor == state.replicas[machine].acceptor => {}
                Ok(answer) => {
                    let mut next = state.clone();
                    next.put_acceptor(machine, answer.acceptor);
                    successors.push(Successor { action, outcome: Ok(next) });
                }
            }
        }
    }
}

impl State {
    /// Replaces the acceptor of a replica by its state after a request. Returns false if nothing changed.
    pub fn put_acceptor(&mut self, machine: usize, acceptor: Shared<Acceptor>) -> bool {
        let replica = &mut self.replicas[machine];
        if replica.acceptor == acceptor {
            return false;
        }
        replica.edit(|replica| {
            // The reads so far only count for the quorums of the previous membership.
            if replica.acceptor.membership.version != acceptor.membership.version {
                replica.reads.clear();
            }
            replica.acceptor = acceptor;
        });
        true
    }
}

fn forget_prepared(acceptor: &mut Acceptor, requested: &ConsensusOperation) {
    let ConsensusOperation::Accept { key, .. } = requested else { return };
    if let Some(register) = acceptor.registers.get_mut(key) {
        register.prepared = ProposalNumber::default();
    }
}

/// Checks that prepared numbers and positions of entries never decrease, and that no entry is above the prepared
/// number.
fn check_only_increases(before: &Acceptor, after: &Acceptor) -> Result<(), Violation> {
    for (key, register) in &after.registers {
        let position = register.entry.as_ref().map(Entry::position);
        let is_above_prepared = register.entry.as_ref().is_some_and(|entry| entry.proposal_number > register.prepared);
        let has_decreased = before.registers.get(key).is_some_and(|previous| {
            previous.prepared > register.prepared || previous.entry.as_ref().map(Entry::position) > position
        });
        if is_above_prepared || has_decreased {
            return Err(Violation::Regressed);
        }
    }
    Ok(())
}
