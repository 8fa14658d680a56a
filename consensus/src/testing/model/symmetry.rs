//! One form for states that are equivalent.
//!
//! Machines that are interchangeable are numbered anew, in the order of what they hold: a state and the one
//! with two of them swapped have the same futures but for the numbers. Late requests that no acceptor will take any
//! more are dropped.

use std::collections::BTreeMap;
use std::mem;

use protocol::message::{ConsensusOperation, ConsensusRequest};

use super::explore::fingerprint;
use super::shared::Shared;
use super::state::{Proposer, Replica, State};
use super::Model;

/// The new number of each machine.
type Renumbering = Vec<usize>;

impl Model {
    /// Brings a state into the form that stands for all equivalent ones.
    pub fn normalize(&self, state: &mut State) {
        self.drop_dead_requests(state);
        for group in &self.scenario.interchangeable {
            if let Some(renumbering) = renumbering(state, group) {
                renumber(state, &renumbering);
            }
        }
    }

    /// Without lost disks prepared numbers and positions only increase, so what an acceptor rejects now it rejects ever
    /// after.
    fn drop_dead_requests(&self, state: &mut State) {
        if state.late.is_empty() || state.wipes_left > 0 || state.non_voting() > 0 {
            return;
        }
        let is_dead = |request: &Shared<ConsensusRequest>| {
            self.membership_facts(&request.membership)
                .members
                .iter()
                .all(|machine| is_rejected(&state.replicas[machine], request))
        };
        if state.late.iter().any(is_dead) {
            let alive = state.late.iter().filter(|request| !is_dead(request)).cloned().collect();
            state.late = Shared::new(alive);
        }
    }
}

fn is_rejected(replica: &Replica, request: &ConsensusRequest) -> bool {
    let ConsensusOperation::Accept { key, entry } = &request.operation else { return false };
    let acceptor = &replica.acceptor;
    let overtaken = acceptor.registers.get(key).is_some_and(|register| {
        register.prepared > entry.proposal_number
            || register.entry.as_ref().is_some_and(|held| held.position() >= entry.position())
    });
    acceptor.membership.version > request.membership.version || overtaken
}

/// What a state says of one machine, without its number.
fn description(state: &State, machine: usize) -> u64 {
    let of_proposer = |proposer: &Shared<Proposer>| {
        let response = proposer.task.as_ref().and_then(|task| task.responses.get(&machine));
        fingerprint(&(response, proposer.transition.responses.get(&machine)))
    };
    let proposers: Vec<u64> = state.proposers.iter().map(of_proposer).collect();
    let reads: Vec<bool> = state.replicas.iter().map(|replica| replica.reads.contains_key(&machine)).collect();
    fingerprint(&(state.replicas[machine].fingerprint(), proposers, reads))
}

/// None: the machines of the group stand in order.
fn renumbering(state: &State, group: &[usize]) -> Option<Renumbering> {
    let mut sorted: Vec<(u64, usize)> = group.iter().map(|machine| (description(state, *machine), *machine)).collect();
    sorted.sort_unstable();
    if sorted.iter().map(|(_, machine)| machine).eq(group) {
        return None;
    }
    let mut numbers: Renumbering = (0..state.replicas.len()).collect();
    for ((_, machine), number) in sorted.iter().zip(group) {
        numbers[*machine] = *number;
    }
    Some(numbers)
}

fn renumber(state: &mut State, numbers: &Renumbering) {
    let old = mem::take(&mut state.replicas);
    let mut replicas: Vec<(usize, Shared<Replica>)> = numbers.iter().copied().zip(old).collect();
    replicas.sort_by_key(|(number, _)| *number);
    state.replicas = replicas.into_iter().map(|(_, replica)| replica).collect();
    for replica in &mut state.replicas {
        if !replica.reads.is_empty() {
            replica.edit(|replica| renumber_keys(&mut replica.reads, numbers));
        }
    }
    for proposer in &mut state.proposers {
        let responded = proposer.task.as_ref().is_some_and(|task| !task.responses.is_empty());
        if responded || !proposer.transition.responses.is_empty() {
            proposer.edit(|proposer| {
                renumber_keys(&mut proposer.transition.responses, numbers);
                if let Some(task) = &mut proposer.task {
                    renumber_keys(&mut task.responses, numbers);
                }
            });
        }
    }
}

fn renumber_keys<T>(map: &mut BTreeMap<usize, T>, numbers: &Renumbering) {
    *map = mem::take(map).into_iter().map(|(machine, value)| (numbers[machine], value)).collect();
}

#[cfg(test)]
#[path = "symmetry_tests.rs"]
mod tests;
