//! Changes of the members, as the controller that coordinates them makes them.
//!
//! The key of the core is a register like any other, and what the exploration shows of the key that it follows
//! holds for it as well. So its rounds are not played again: a change of the core is committed in one step, by
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
    pub fn change_core(&self, state: &State, list: &mut Vec<Successor>) {
        for at in 0..state.proposers.len() {
            if !state.proposers[at].coordinates {
                continue;
            }
            self.inform(state, at, list);
            match self.settlement(state, at) {
                None => self.begin_change(state, at, list),
                Some(settlement) => self.settle(state, at, settlement, list),
            }
        }
    }

    /// A coordinator hears of the newest core. (Other proposers do when they begin a proposal.)
    fn inform(&self, state: &State, proposer: usize, list: &mut Vec<Successor>) {
        let newest = state.cores.len() - 1;
        if state.proposers[proposer].core < newest {
            let mut next = state.clone();
            next.proposers[proposer].edit(|proposer| proposer.know_core(newest));
            list.push(Successor { action: Action::Inform { proposer }, outcome: Ok(next) });
        }
    }

    /// The settlement that this proposer is at, if its core is changing.
    pub fn settlement(&self, state: &State, at: usize) -> Option<MembershipTransition> {
        let proposer = &state.proposers[at];
        let core = &state.cores[proposer.core];
        if core.stable {
            return None;
        }
        let mut settlement = MembershipTransition::new(core);
        for (machine, vote) in &proposer.settlement.heard {
            settlement.record_response(&self.addresses[*machine], vote);
        }
        settlement.mark_recommitted(MEMBERSHIP_KEY);
        proposer.settlement.renewed.iter().for_each(|key| settlement.mark_recommitted(key));
        Some(settlement)
    }

    /// The next core as the coordinator decides it.
    fn next_core(&self, core: &CoreMembership) -> Option<CoreMembership> {
        let change = self.scenario.core_change.as_ref()?;
        let leaving = change.leaving.map(|machine| self.addresses[machine].clone());
        let health = |address: &str| Health {
            since_last_seen_ms: 0,
            live: true,
            shutting_down: leaving.as_deref() == Some(address),
        };
        let waits = |machine: &usize| !quorum::is_member(core, &self.addresses[*machine]);
        let waiting = change.candidates.iter().copied().filter(waits);
        let candidates = waiting.map(machines::member).collect();
        let next = next_membership(core, &ClusterView { health: &health, candidates, joint_quorums: true })?;
        match self.has(Defect::NoJointQuorums) {
            true => Some(stabilized(&next)),
            false => Some(next),
        }
    }

    fn begin_change(&self, state: &State, at: usize, list: &mut Vec<Successor>) {
        let Some(next) = self.next_core(&state.cores[state.proposers[at].core]) else { return };
        self.commit_core(state, at, &next, list);
    }

    fn settle(&self, state: &State, at: usize, settlement: MembershipTransition, list: &mut Vec<Successor>) {
        if !settlement.is_known() {
            return self.spread(state, at, list);
        }
        if settlement.is_done() || self.has(Defect::SettledWithoutRenewal) {
            self.commit_core(state, at, &stabilized(settlement.membership()), list);
        }
    }

    /// The next core is committed under the one that the coordinator knows, by any quorum that answers.
    fn commit_core(&self, state: &State, at: usize, next: &CoreMembership, list: &mut Vec<Successor>) {
        let known = state.proposers[at].core;
        if known + 1 < state.cores.len() {
            // What it would change is not what it finds committed.
            return;
        }
        let core = &state.cores[known];
        let facts = self.core_facts(core);
        let answers = |quorum: &&MachineSet| quorum.iter().all(|machine| self.answers(state, machine, core));
        let quorums = facts.quorums.iter().filter(answers).copied();
        // Who holds the entry matters only where one may have to read it from the others.
        let choices: Vec<MachineSet> = match state.wipes_left > 0 || state.mute() > 0 {
            true => quorums.collect(),
            false => quorums.take(1).map(|_| MachineSet::default()).collect(),
        };
        for quorum in choices {
            let mut state = state.clone();
            state.write_core(quorum, next);
            let newest = state.cores.len() - 1;
            state.proposers[at].edit(|proposer| proposer.know_core(newest));
            list.push(Successor { action: Action::CommitCore { proposer: at, quorum }, outcome: Ok(state) });
        }
    }

    /// Tells machines of the changed core.
    fn spread(&self, state: &State, at: usize, list: &mut Vec<Successor>) {
        let core = &state.cores[state.proposers[at].core];
        let told = quorum::old_and_new_members(core);
        let poll = Shared::new(ConsensusRequest { membership: core.clone(), operation: ConsensusOperation::Positions });
        for machine in (0..self.addresses.len()).filter(|machine| told.contains(&self.addresses[*machine])) {
            let outcome = self.tell_change(state, at, machine, &poll);
            list.push(Successor { action: Action::Spread { proposer: at, machine }, outcome });
        }
    }

    fn tell_change(
        &self,
        state: &State,
        at: usize,
        machine: usize,
        poll: &Shared<ConsensusRequest>,
    ) -> Result<State, Violation> {
        let Answer { voter, vote } = self.poll(machine, &state.replicas[machine].voter, poll)?;
        let mut next = state.clone();
        next.put_voter(machine, voter);
        if let ConsensusResponse::Positions { positions: list } = &*vote {
            let vote = Shared::new(keys_only(list));
            next.proposers[at].edit(|proposer| drop(proposer.settlement.heard.insert(machine, vote)));
        }
        Ok(next)
    }
}

impl State {
    fn write_core(&mut self, quorum: MachineSet, core: &CoreMembership) {
        let ballot = ProposalNumber { term: self.cores.len() as u64, replica_id: 0 };
        let entry = Entry { proposal_number: ballot, index: 0, body: encode_membership(core) };
        let slot = RegisterState { key: MEMBERSHIP_KEY.into(), prepared: ballot, entry: Some(entry) };
        for machine in quorum.iter() {
            let mut voter = Acceptor::clone(&self.replicas[machine].voter);
            voter.replay(LogRecord::Register(slot.clone()));
            self.put_voter(machine, Shared::new(voter));
        }
        self.cores.edit(|cores| cores.push(core.clone()));
    }
}

/// A settlement cares for the keys and not for their places, and always for the key of the core: states that
/// differ only in these are one.
fn keys_only(list: &[KeyPosition]) -> ConsensusResponse {
    let keys = list.iter().map(|held| &held.key).filter(|key| *key != MEMBERSHIP_KEY);
    let named = |key: &String| KeyPosition { key: key.clone(), position: Position::default() };
    ConsensusResponse::Positions { positions: keys.map(named).collect() }
}
