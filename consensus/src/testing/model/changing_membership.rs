//! Membership changes, as made by the controller that coordinates them.
//!
//! The membership is stored in a register like any other, so what the exploration shows for the key `KEY` holds
//! for it too. Its rounds are therefore not modelled: a membership change is committed in a single step, by any
//! quorum that can vote. Its effects are explored completely: which machines know the change, and which keys are
//! committed again.

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Entry, KeyPosition, Position,
    ProposalNumber, RegisterState,
};

use super::action::{Action, Successor};
use super::machines::{self, MachineSet};
use super::scenario::Defect;
use super::shared::Shared;
use super::state::State;
use super::violation::Violation;
use super::voting::Answer;
use super::Model;
use crate::acceptor::{Acceptor, LogRecord};
use crate::reconfiguration::{next_membership, stabilized, ClusterView, Health, MembershipTransition};
use crate::{encode_membership, quorum, MEMBERSHIP_KEY};

impl Model {
    /// Adds the next actions of the coordinators.
    pub fn change_membership(&self, state: &State, successors: &mut Vec<Successor>) {
        for index in 0..state.proposers.len() {
            if !state.proposers[index].is_coordinator {
                continue;
            }
            self.inform(state, index, successors);
            match self.transition(state, index) {
                None => self.begin_change(state, index, successors),
                Some(transition) => self.advance_transition(state, index, transition, successors),
            }
        }
    }

    /// Adds the step in which a coordinator learns the newest membership. Other proposers learn it when they begin a
    /// proposal.
    fn inform(&self, state: &State, proposer: usize, successors: &mut Vec<Successor>) {
        let newest = state.memberships.len() - 1;
        if state.proposers[proposer].membership < newest {
            let mut next = state.clone();
            next.proposers[proposer].edit(|proposer| proposer.learn_membership(newest));
            successors.push(Successor { action: Action::Inform { proposer }, outcome: Ok(next) });
        }
    }

    /// Returns the current transition of this proposer, if the membership that it knows is joint.
    pub fn transition(&self, state: &State, index: usize) -> Option<MembershipTransition> {
        let proposer = &state.proposers[index];
        let membership = &state.memberships[proposer.membership];
        if membership.stable {
            return None;
        }
        let mut transition = MembershipTransition::new(membership);
        for (machine, response) in &proposer.transition.responses {
            transition.record_response(&self.addresses[*machine], response);
        }
        transition.mark_recommitted(MEMBERSHIP_KEY);
        proposer.transition.recommitted.iter().for_each(|key| transition.mark_recommitted(key));
        Some(transition)
    }

    /// Returns the next membership as decided by the coordinator.
    fn planned_membership(&self, membership: &CoreMembership) -> Option<CoreMembership> {
        let change = self.scenario.membership_change.as_ref()?;
        let leaving = change.leaving.map(|machine| self.addresses[machine].clone());
        let health = |address: &str| Health {
            since_last_seen_ms: 0,
            live: true,
            shutting_down: leaving.as_deref() == Some(address),
        };
        let is_not_member = |machine: &usize| !quorum::is_member(membership, &self.addresses[*machine]);
        let non_members = change.candidates.iter().copied().filter(is_not_member);
        let candidates = non_members.map(machines::member).collect();
        let next = next_membership(membership, &ClusterView { health: &health, candidates, joint_quorums: true })?;
        match self.has_defect(Defect::NoJointQuorums) {
            true => Some(stabilized(&next)),
            false => Some(next),
        }
    }

    fn begin_change(&self, state: &State, index: usize, successors: &mut Vec<Successor>) {
        let Some(next) = self.planned_membership(&state.memberships[state.proposers[index].membership]) else { return };
        self.commit_membership(state, index, &next, successors);
    }

    fn advance_transition(
        &self,
        state: &State,
        index: usize,
        transition: MembershipTransition,
        successors: &mut Vec<Successor>,
    ) {
        if !transition.is_known() {
            return self.announce(state, index, successors);
        }
        if transition.is_done() || self.has_defect(Defect::StabilizedWithoutRecommit) {
            self.commit_membership(state, index, &stabilized(transition.membership()), successors);
        }
    }

    /// Commits the next membership under the one that the coordinator knows, by any quorum that can vote.
    fn commit_membership(&self, state: &State, index: usize, next: &CoreMembership, successors: &mut Vec<Successor>) {
        let known = state.proposers[index].membership;
        if known + 1 < state.memberships.len() {
            // The coordinator's membership is outdated, so its proposal would find another one committed.
            return;
        }
        let membership = &state.memberships[known];
        let info = self.membership_info(membership);
        let can_vote =
            |quorum: &&MachineSet| quorum.iter().all(|machine| self.can_vote_under(state, machine, membership));
        let quorums = info.quorums.iter().filter(can_vote).copied();
        // Which machines store the entry matters only if a recovering acceptor may have to read it from them.
        let stored_on: Vec<MachineSet> = match state.wipes_left > 0 || state.non_voting() > 0 {
            true => quorums.collect(),
            false => quorums.take(1).map(|_| MachineSet::default()).collect(),
        };
        for quorum in stored_on {
            let mut state = state.clone();
            state.write_membership(quorum, next);
            let newest = state.memberships.len() - 1;
            state.proposers[index].edit(|proposer| proposer.learn_membership(newest));
            successors
                .push(Successor { action: Action::CommitMembership { proposer: index, quorum }, outcome: Ok(state) });
        }
    }

    /// Notifies the old and new members of the joint membership.
    fn announce(&self, state: &State, index: usize, successors: &mut Vec<Successor>) {
        let membership = &state.memberships[state.proposers[index].membership];
        let recipients = quorum::old_and_new_members(membership);
        let request =
            Shared::new(ConsensusRequest { membership: membership.clone(), operation: ConsensusOperation::Positions });
        for machine in (0..self.addresses.len()).filter(|machine| recipients.contains(&self.addresses[*machine])) {
            let outcome = self.notify_change(state, index, machine, &request);
            successors.push(Successor { action: Action::Announce { proposer: index, machine }, outcome });
        }
    }

    fn notify_change(
        &self,
        state: &State,
        index: usize,
        machine: usize,
        request: &Shared<ConsensusRequest>,
    ) -> Result<State, Violation> {
        let Answer { acceptor, response } = self.respond(machine, &state.replicas[machine].acceptor, request)?;
        let mut next = state.clone();
        next.put_acceptor(machine, acceptor);
        if let ConsensusResponse::Positions { positions: reported } = &*response {
            let response = Shared::new(keys_only(reported));
            next.proposers[index].edit(|proposer| drop(proposer.transition.responses.insert(machine, response)));
        }
        Ok(next)
    }
}

impl State {
    fn write_membership(&mut self, quorum: MachineSet, membership: &CoreMembership) {
        let proposal_number = ProposalNumber { term: self.memberships.len() as u64, replica_id: 0 };
        let entry = Entry { proposal_number, index: 0, body: encode_membership(membership) };
        let register = RegisterState { key: MEMBERSHIP_KEY.into(), prepared: proposal_number, entry: Some(entry) };
        for machine in quorum.iter() {
            let mut acceptor = Acceptor::clone(&self.replicas[machine].acceptor);
            acceptor.replay(LogRecord::Register(register.clone()));
            self.put_acceptor(machine, Shared::new(acceptor));
        }
        self.memberships.edit(|memberships| memberships.push(membership.clone()));
    }
}

/// Keeps only the keys of a response, since a transition ignores the positions and always includes the key of the
/// membership. States that differ only in these are then equal.
fn keys_only(reported: &[KeyPosition]) -> ConsensusResponse {
    let keys = reported.iter().map(|position| &position.key).filter(|key| *key != MEMBERSHIP_KEY);
    let named = |key: &String| KeyPosition { key: key.clone(), position: Position::default() };
    ConsensusResponse::Positions { positions: keys.map(named).collect() }
}
