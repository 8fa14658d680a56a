//! Changes of the members, as the controller that coordinates them makes them.
//!
//! The key of the membership is a register like any other, and what the exploration shows of the key that it follows
//! holds for it as well. So its rounds are not played again: a change of the membership is committed in one step, by
//! any quorum that answers. What comes of it is explored in full: who knows of the change, and the keys.

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
    /// Adds what the coordinators may do next.
    pub fn change_membership(&self, state: &State, list: &mut Vec<Successor>) {
        for at in 0..state.proposers.len() {
            if !state.proposers[at].coordinates {
                continue;
            }
            self.inform(state, at, list);
            match self.transition(state, at) {
                None => self.begin_change(state, at, list),
                Some(transition) => self.advance_transition(state, at, transition, list),
            }
        }
    }

    /// A coordinator learns of the newest membership. (Other proposers do when they begin a proposal.)
    fn inform(&self, state: &State, proposer: usize, list: &mut Vec<Successor>) {
        let newest = state.memberships.len() - 1;
        if state.proposers[proposer].membership < newest {
            let mut next = state.clone();
            next.proposers[proposer].edit(|proposer| proposer.learn_membership(newest));
            list.push(Successor { action: Action::Inform { proposer }, outcome: Ok(next) });
        }
    }

    /// The transition that this proposer is at, if its membership is changing.
    pub fn transition(&self, state: &State, at: usize) -> Option<MembershipTransition> {
        let proposer = &state.proposers[at];
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

    /// The next membership as the coordinator decides it.
    fn planned_membership(&self, membership: &CoreMembership) -> Option<CoreMembership> {
        let change = self.scenario.membership_change.as_ref()?;
        let leaving = change.leaving.map(|machine| self.addresses[machine].clone());
        let health = |address: &str| Health {
            since_last_seen_ms: 0,
            live: true,
            shutting_down: leaving.as_deref() == Some(address),
        };
        let waits = |machine: &usize| !quorum::is_member(membership, &self.addresses[*machine]);
        let waiting = change.candidates.iter().copied().filter(waits);
        let candidates = waiting.map(machines::member).collect();
        let next = next_membership(membership, &ClusterView { health: &health, candidates, joint_quorums: true })?;
        match self.has(Defect::NoJointQuorums) {
            true => Some(stabilized(&next)),
            false => Some(next),
        }
    }

    fn begin_change(&self, state: &State, at: usize, list: &mut Vec<Successor>) {
        let Some(next) = self.planned_membership(&state.memberships[state.proposers[at].membership]) else { return };
        self.commit_membership(state, at, &next, list);
    }

    fn advance_transition(
        &self,
        state: &State,
        at: usize,
        transition: MembershipTransition,
        list: &mut Vec<Successor>,
    ) {
        if !transition.is_known() {
            return self.announce(state, at, list);
        }
        if transition.is_done() || self.has(Defect::StabilizedWithoutRecommit) {
            self.commit_membership(state, at, &stabilized(transition.membership()), list);
        }
    }

    /// The next membership is committed under the one that the coordinator knows, by any quorum that answers.
    fn commit_membership(&self, state: &State, at: usize, next: &CoreMembership, list: &mut Vec<Successor>) {
        let known = state.proposers[at].membership;
        if known + 1 < state.memberships.len() {
            // What it would change is not what it finds committed.
            return;
        }
        let membership = &state.memberships[known];
        let facts = self.membership_facts(membership);
        let answers = |quorum: &&MachineSet| quorum.iter().all(|machine| self.answers(state, machine, membership));
        let quorums = facts.quorums.iter().filter(answers).copied();
        // Who holds the entry matters only where one may have to read it from the others.
        let choices: Vec<MachineSet> = match state.wipes_left > 0 || state.non_voting() > 0 {
            true => quorums.collect(),
            false => quorums.take(1).map(|_| MachineSet::default()).collect(),
        };
        for quorum in choices {
            let mut state = state.clone();
            state.write_membership(quorum, next);
            let newest = state.memberships.len() - 1;
            state.proposers[at].edit(|proposer| proposer.learn_membership(newest));
            list.push(Successor { action: Action::CommitMembership { proposer: at, quorum }, outcome: Ok(state) });
        }
    }

    /// Announces the changed membership to machines.
    fn announce(&self, state: &State, at: usize, list: &mut Vec<Successor>) {
        let membership = &state.memberships[state.proposers[at].membership];
        let recipients = quorum::old_and_new_members(membership);
        let request =
            Shared::new(ConsensusRequest { membership: membership.clone(), operation: ConsensusOperation::Positions });
        for machine in (0..self.addresses.len()).filter(|machine| recipients.contains(&self.addresses[*machine])) {
            let outcome = self.notify_change(state, at, machine, &request);
            list.push(Successor { action: Action::Announce { proposer: at, machine }, outcome });
        }
    }

    fn notify_change(
        &self,
        state: &State,
        at: usize,
        machine: usize,
        request: &Shared<ConsensusRequest>,
    ) -> Result<State, Violation> {
        let Answer { acceptor, response } = self.respond(machine, &state.replicas[machine].acceptor, request)?;
        let mut next = state.clone();
        next.put_acceptor(machine, acceptor);
        if let ConsensusResponse::Positions { positions: list } = &*response {
            let response = Shared::new(keys_only(list));
            next.proposers[at].edit(|proposer| drop(proposer.transition.responses.insert(machine, response)));
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

/// A transition cares for the keys and not for their positions, and always for the key of the membership: states that
/// differ only in these are one.
fn keys_only(list: &[KeyPosition]) -> ConsensusResponse {
    let keys = list.iter().map(|held| &held.key).filter(|key| *key != MEMBERSHIP_KEY);
    let named = |key: &String| KeyPosition { key: key.clone(), position: Position::default() };
    ConsensusResponse::Positions { positions: keys.map(named).collect() }
}
