//! The invariants that are checked in every state.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, Entry, ProposalNumber};

use super::machines::MachineSet;
use super::proposing::proposal_number;
use super::state::State;
use super::violation::Violation;
use super::{Model, KEY};
use crate::quorum;

/// The members and quorums of a membership, computed once.
pub struct MembershipInfo {
    pub members: MachineSet,
    /// The minimal quorums: without any of its machines such a set is no longer a quorum.
    pub quorums: Vec<MachineSet>,
}

/// The members and quorums of each membership, by its version and whether it is stable.
pub type MembershipCache = RefCell<HashMap<(u64, bool), Rc<MembershipInfo>>>;

impl Model {
    /// Returns the members and quorums of a membership, computed once.
    pub fn membership_info(&self, membership: &CoreMembership) -> Rc<MembershipInfo> {
        let key = (membership.version, membership.stable);
        if let Some(known) = self.memberships.borrow().get(&key) {
            return known.clone();
        }
        let is_member = |machine: &usize| quorum::is_member(membership, &self.addresses[*machine]);
        let members = (0..self.addresses.len()).filter(is_member).collect();
        let info = Rc::new(MembershipInfo { members, quorums: self.minimal_quorums(membership, members) });
        self.memberships.borrow_mut().insert(key, info.clone());
        info
    }

    fn minimal_quorums(&self, membership: &CoreMembership, members: MachineSet) -> Vec<MachineSet> {
        let is_quorum = |set: MachineSet| {
            let addresses: Vec<String> = set.iter().map(|machine| self.addresses[machine].clone()).collect();
            quorum::is_quorum(membership, &addresses)
        };
        let is_minimal =
            |set: &MachineSet| is_quorum(*set) && !set.iter().any(|machine| is_quorum(set.without(machine)));
        let sets = MachineSet::subsets(self.addresses.len()).filter(|set| members.includes(*set));
        sets.filter(is_minimal).collect()
    }

    /// Checks that each position has a single value: no two different bodies were accepted, or are proposed, under one
    /// proposal number and index.
    pub fn check_positions(&self, state: &State) -> Result<(), Violation> {
        let mut seen: Vec<&Entry> = Vec::new();
        for entry in entries(state) {
            match seen.iter().find(|other| other.position() == entry.position()) {
                None => seen.push(entry),
                Some(other) if other.body == entry.body => {}
                Some(other) => {
                    let bodies = [other.body.clone(), entry.body.clone()];
                    return Err(Violation::ConflictingValues { position: entry.position(), bodies });
                }
            }
        }
        Ok(())
    }

    /// Checks that no two proposers use the same proposal number.
    pub fn check_owners(&self, state: &State) -> Result<(), Violation> {
        let mut seen: Vec<ProposalNumber> = Vec::new();
        for proposer in &state.proposers {
            let active_number = match (&proposer.task, &proposer.ownership) {
                (Some(task), _) => proposal_number(&task.request.operation),
                (None, ownership) => ownership.as_ref().map(|owner| owner.entry.proposal_number),
            };
            let Some(proposal_number) = active_number else { continue };
            if seen.contains(&proposal_number) {
                return Err(Violation::ConflictingOwners { proposal_number });
            }
            seen.push(proposal_number);
        }
        Ok(())
    }

    /// Checks that no acknowledged change is lost: a read under a new proposal number, by any quorum of any membership,
    /// returns the acknowledged body or one that extends it.
    pub fn check_quorum_reads(&self, state: &State) -> Result<(), Violation> {
        for membership in state.memberships.iter() {
            for quorum in self.membership_info(membership).quorums.iter() {
                if quorum.iter().all(|machine| self.can_vote_under(state, machine, membership)) {
                    check_read(state, *quorum)?;
                }
            }
        }
        Ok(())
    }

    /// Returns whether this acceptor takes part in rounds under this membership.
    pub fn can_vote_under(&self, state: &State, machine: usize, membership: &CoreMembership) -> bool {
        let acceptor = &state.replicas[machine].acceptor;
        acceptor.may_vote && acceptor.membership.version <= membership.version
    }
}

fn check_read(state: &State, quorum: MachineSet) -> Result<(), Violation> {
    let registers = quorum.iter().filter_map(|machine| state.replicas[machine].acceptor.registers.get(KEY));
    let newest = registers.filter_map(|register| register.entry.as_ref()).max_by_key(|entry| entry.position());
    let found = newest.map(|entry| entry.body.as_slice()).unwrap_or_default();
    match found.starts_with(&state.acknowledged) {
        true => Ok(()),
        false => Err(Violation::Lost { acknowledged: state.acknowledged.to_vec(), found: found.into() }),
    }
}

/// Returns all entries of the key: on disks, in current and late requests, and in responses.
fn entries(state: &State) -> impl Iterator<Item = &Entry> {
    let stored = state.replicas.iter().filter_map(|replica| replica.acceptor.registers.get(KEY)?.entry.as_ref());
    let tasks = || state.proposers.iter().filter_map(|proposer| proposer.task.as_ref());
    let requests = tasks().map(|task| &task.request).chain(state.late_requests.iter());
    let proposed = requests.filter_map(|request| match &request.operation {
        ConsensusOperation::Accept { entry, .. } => Some(entry),
        _ => None,
    });
    let responded = tasks().flat_map(|task| task.responses.values()).filter_map(|response| match &**response {
        ConsensusResponse::Prepared { entry } => entry.as_ref(),
        _ => None,
    });
    stored.chain(proposed).chain(responded)
}
