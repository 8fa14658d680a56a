//! What must hold in every state.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Entry, ProposalNumber};

use super::machines::MachineSet;
use super::proposing::ballot;
use super::state::State;
use super::violation::Violation;
use super::{Model, KEY};
use crate::quorum;

/// What is asked again and again of a core.
pub struct CoreFacts {
    pub members: MachineSet,
    /// The quorums that are none without any one of their members.
    pub quorums: Vec<MachineSet>,
}

/// The facts of each core, which its version and whether it is settled tell apart.
pub type CoreCache = RefCell<HashMap<(u64, bool), Rc<CoreFacts>>>;

impl Model {
    pub fn core_facts(&self, core: &CoreMembership) -> Rc<CoreFacts> {
        let key = (core.version, core.stable);
        if let Some(known) = self.cores.borrow().get(&key) {
            return known.clone();
        }
        let is_member = |machine: &usize| quorum::is_member(core, &self.addresses[*machine]);
        let members = (0..self.addresses.len()).filter(is_member).collect();
        let facts = Rc::new(CoreFacts { members, quorums: self.smallest_quorums(core, members) });
        self.cores.borrow_mut().insert(key, facts.clone());
        facts
    }

    fn smallest_quorums(&self, core: &CoreMembership, members: MachineSet) -> Vec<MachineSet> {
        let is_quorum = |set: MachineSet| {
            let addresses: Vec<String> = set.iter().map(|machine| self.addresses[machine].clone()).collect();
            quorum::is_quorum(core, &addresses)
        };
        let smallest = |set: &MachineSet| is_quorum(*set) && !set.iter().any(|machine| is_quorum(set.without(machine)));
        let sets = MachineSet::subsets(self.addresses.len()).filter(|set| members.includes(*set));
        sets.filter(smallest).collect()
    }

    /// One value per place: no two bodies were accepted, or are proposed, under one ballot and step.
    pub fn check_places(&self, state: &State) -> Result<(), Violation> {
        let mut seen: Vec<&Entry> = Vec::new();
        for entry in entries(state) {
            match seen.iter().find(|other| other.position() == entry.position()) {
                None => seen.push(entry),
                Some(other) if other.body == entry.body => {}
                Some(other) => {
                    let bodies = [other.body.clone(), entry.body.clone()];
                    return Err(Violation::TwoValues { place: entry.position(), bodies });
                }
            }
        }
        Ok(())
    }

    /// No two proposers act under one ballot.
    pub fn check_owners(&self, state: &State) -> Result<(), Violation> {
        let mut seen: Vec<ProposalNumber> = Vec::new();
        for proposer in &state.proposers {
            let own = match (&proposer.task, &proposer.held) {
                (Some(task), _) => ballot(&task.poll.operation),
                (None, held) => held.as_ref().map(|owner| owner.entry.proposal_number),
            };
            let Some(ballot) = own else { continue };
            if seen.contains(&ballot) {
                return Err(Violation::TwoOwners { ballot });
            }
            seen.push(ballot);
        }
        Ok(())
    }

    /// Nothing acknowledged is lost: whichever quorum of whichever core is read now, under a new ballot, the
    /// read returns it or something built on it.
    pub fn check_quorum_reads(&self, state: &State) -> Result<(), Violation> {
        for core in state.cores.iter() {
            for quorum in self.core_facts(core).quorums.iter() {
                if quorum.iter().all(|machine| self.answers(state, machine, core)) {
                    check_read(state, *quorum)?;
                }
            }
        }
        Ok(())
    }

    /// Would this voter take part in a round of this core?
    pub fn answers(&self, state: &State, machine: usize, core: &CoreMembership) -> bool {
        let voter = &state.replicas[machine].voter;
        voter.may_vote && voter.membership.version <= core.version
    }
}

fn check_read(state: &State, quorum: MachineSet) -> Result<(), Violation> {
    let slots = quorum.iter().filter_map(|machine| state.replicas[machine].voter.registers.get(KEY));
    let newest = slots.filter_map(|slot| slot.entry.as_ref()).max_by_key(|entry| entry.position());
    let found = newest.map(|entry| entry.body.as_slice()).unwrap_or_default();
    match found.starts_with(&state.acknowledged) {
        true => Ok(()),
        false => Err(Violation::Lost { acknowledged: state.acknowledged.to_vec(), found: found.into() }),
    }
}

/// All entries of the key that exist: on disks, in polls under way and late, in votes, with owners.
fn entries(state: &State) -> impl Iterator<Item = &Entry> {
    let stored = state.replicas.iter().filter_map(|replica| replica.voter.registers.get(KEY)?.entry.as_ref());
    let tasks = || state.proposers.iter().filter_map(|proposer| proposer.task.as_ref());
    let polls = tasks().map(|task| &task.poll).chain(state.late.iter());
    let proposed = polls.filter_map(|poll| match &poll.operation {
        ConsensusOperation::Accept { entry, .. } => Some(entry),
        _ => None,
    });
    let voted = tasks().flat_map(|task| task.votes.values()).filter_map(|vote| match &**vote {
        ConsensusResponse::Prepared { entry } => entry.as_ref(),
        _ => None,
    });
    stored.chain(proposed).chain(voted)
}
