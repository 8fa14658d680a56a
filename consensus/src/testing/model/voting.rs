//! Polls that reach voters, in time or late.

use std::cell::RefCell;
use std::collections::HashMap;

use protocol::message::{ConsensusOperation, ConsensusRequest, ConsensusResponse, Entry, ProposalNumber};

use super::action::{Action, Successor};
use super::proposing::ballot;
use super::scenario::Defect;
use super::shared::Shared;
use super::state::State;
use super::violation::Violation;
use super::Model;
use crate::acceptor::Acceptor;

/// A voter after a poll, and its vote.
#[derive(Clone)]
pub struct Answer {
    pub voter: Shared<Acceptor>,
    pub vote: Shared<ConsensusResponse>,
}

/// What each voter answered to each poll: told apart by machine, voter and poll.
pub type AnswerCache = RefCell<HashMap<(usize, u64, u64), Answer>>;

impl Model {
    /// Lets a voter answer a poll. Both the voter and what a restart would find on its disk are as returned.
    pub fn poll(
        &self,
        machine: usize,
        voter: &Shared<Acceptor>,
        poll: &Shared<ConsensusRequest>,
    ) -> Result<Answer, Violation> {
        let key = (machine, voter.fingerprint(), poll.fingerprint());
        if let Some(known) = self.answers.borrow().get(&key) {
            return Ok(known.clone());
        }
        let (after, vote) = self.answer(machine, voter, poll)?;
        let after = if after == **voter { voter.clone() } else { Shared::new(after) };
        let answer = Answer { voter: after, vote: Shared::new(vote) };
        self.answers.borrow_mut().insert(key, answer.clone());
        Ok(answer)
    }

    fn answer(
        &self,
        machine: usize,
        voter: &Acceptor,
        poll: &ConsensusRequest,
    ) -> Result<(Acceptor, ConsensusResponse), Violation> {
        let mut after = Acceptor { ip: self.addresses[machine].clone(), ..voter.clone() };
        let accepts_old = self.has(Defect::OldBallotAccepted);
        if accepts_old {
            forget_promise(&mut after, &poll.operation);
        }
        let (vote, records) = after.handle(poll.clone());
        if accepts_old && matches!(vote, ConsensusResponse::Rejected { .. }) {
            return Ok((voter.clone(), vote));
        }
        after.ip.clear();
        let mut restarted = voter.clone();
        if !self.has(Defect::VoteBeforeDisk) {
            records.into_iter().for_each(|record| restarted.replay(record));
        }
        if restarted != after {
            return Err(Violation::NotOnDisk);
        }
        if !accepts_old {
            check_only_rises(voter, &after)?;
        }
        Ok((after, vote))
    }

    pub fn vote(&self, state: &State, list: &mut Vec<Successor>) {
        for proposer in 0..state.proposers.len() {
            self.deliver(state, proposer, list);
        }
        for poll in state.late.iter() {
            self.deliver_late(state, poll, list);
        }
    }

    /// The present poll of a proposer reaches one of the members.
    fn deliver(&self, state: &State, proposer: usize, list: &mut Vec<Successor>) {
        let Some(task) = &state.proposers[proposer].task else { return };
        for machine in self.core_facts(&task.poll.membership).members.iter() {
            let action = Action::Deliver { proposer, machine };
            let Answer { voter, vote } = match self.poll(machine, &state.replicas[machine].voter, &task.poll) {
                Ok(answer) => answer,
                Err(violation) => {
                    list.push(Successor { action, outcome: Err(violation) });
                    continue;
                }
            };
            let mut next = state.clone();
            let changed = next.put_voter(machine, voter);
            match &*vote {
                // The first vote counts; what is answered to a poll that comes again goes nowhere.
                ConsensusResponse::Prepared { .. } | ConsensusResponse::Accepted
                    if !task.votes.contains_key(&machine) =>
                {
                    next.edit_task(proposer, |task| drop(task.votes.insert(machine, vote)));
                    list.push(Successor { action, outcome: Ok(next) });
                }
                // A refusal under the own ballot answers a poll that came twice.
                ConsensusResponse::Rejected { prepared } if Some(*prepared) <= ballot(&task.poll.operation) => {}
                ConsensusResponse::Rejected { .. } | ConsensusResponse::NewerMembership { .. } => {
                    let outcome = self.hear(next, proposer, &[(machine, vote)]);
                    list.push(Successor { action: Action::Refuse { proposer, machine }, outcome });
                }
                _ if changed => list.push(Successor { action, outcome: Ok(next) }),
                _ => {}
            }
        }
    }

    fn deliver_late(&self, state: &State, poll: &Shared<ConsensusRequest>, list: &mut Vec<Successor>) {
        let ConsensusOperation::Accept { entry, .. } = &poll.operation else { return };
        for machine in self.core_facts(&poll.membership).members.iter() {
            let action = Action::DeliverLate { place: entry.position(), machine };
            match self.poll(machine, &state.replicas[machine].voter, poll) {
                Err(violation) => list.push(Successor { action, outcome: Err(violation) }),
                Ok(answer) if answer.voter == state.replicas[machine].voter => {}
                Ok(answer) => {
                    let mut next = state.clone();
                    next.put_voter(machine, answer.voter);
                    list.push(Successor { action, outcome: Ok(next) });
                }
            }
        }
    }
}

impl State {
    /// Gives a replica its voter after a poll. False: nothing changed.
    pub fn put_voter(&mut self, machine: usize, voter: Shared<Acceptor>) -> bool {
        let replica = &mut self.replicas[machine];
        if replica.voter == voter {
            return false;
        }
        replica.edit(|replica| {
            // What was read answers for the quorums of another core.
            if replica.voter.membership.version != voter.membership.version {
                replica.reads.clear();
            }
            replica.voter = voter;
        });
        true
    }
}

fn forget_promise(voter: &mut Acceptor, ask: &ConsensusOperation) {
    let ConsensusOperation::Accept { key, .. } = ask else { return };
    if let Some(slot) = voter.registers.get_mut(key) {
        slot.prepared = ProposalNumber::default();
    }
}

/// Promises and places of entries never go back, and no entry is above what is promised.
fn check_only_rises(before: &Acceptor, after: &Acceptor) -> Result<(), Violation> {
    for (key, slot) in &after.registers {
        let place = slot.entry.as_ref().map(Entry::position);
        let above = slot.entry.as_ref().is_some_and(|entry| entry.proposal_number > slot.prepared);
        let back = before
            .registers
            .get(key)
            .is_some_and(|held| held.prepared > slot.prepared || held.entry.as_ref().map(Entry::position) > place);
        if above || back {
            return Err(Violation::WentBack);
        }
    }
    Ok(())
}
