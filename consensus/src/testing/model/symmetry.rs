//! Symmetry reduction: a canonical form for equivalent states.
//!
//! Interchangeable machines are renumbered in the order of their fingerprints. Swapping two of them yields a state with
//! the same behaviour except for the numbers. Late requests that every acceptor will reject are dropped.

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
    /// Brings a state into the canonical form of its equivalence class.
    pub fn normalize(&self, state: &mut State) {
        self.drop_obsolete_requests(state);
        for group in &self.scenario.interchangeable {
            if let Some(renumbering) = renumbering(state, group) {
                renumber(state, &renumbering);
            }
        }
    }

    /// Drops late requests that every member rejects. Prepared numbers and positions never decrease while no disk is
    /// lost, so a request that is rejected now is rejected forever.
    fn drop_obsolete_requests(&self, state: &mut State) {
        if state.late_requests.is_empty() || state.wipes_left > 0 || state.non_voting() > 0 {
            return;
        }
        let is_obsolete = |request: &Shared<ConsensusRequest>| {
            self.membership_info(&request.membership)
                .members
                .iter()
                .all(|machine| is_rejected(&state.replicas[machine], request))
        };
        if state.late_requests.iter().any(is_obsolete) {
            let remaining = state.late_requests.iter().filter(|request| !is_obsolete(request)).cloned().collect();
            state.late_requests = Shared::new(remaining);
        }
    }
}

fn is_rejected(replica: &Replica, request: &ConsensusRequest) -> bool {
    let ConsensusOperation::Accept { key, entry } = &request.operation else { return false };
    let acceptor = &replica.acceptor;
    let is_superseded = acceptor.registers.get(key).is_some_and(|register| {
        register.prepared > entry.proposal_number
            || register.entry.as_ref().is_some_and(|accepted| accepted.position() >= entry.position())
    });
    acceptor.membership.version > request.membership.version || is_superseded
}

/// Returns the fingerprint of everything that a state holds about one machine, except its number.
fn machine_fingerprint(state: &State, machine: usize) -> u64 {
    let proposer_fingerprint = |proposer: &Shared<Proposer>| {
        let response = proposer.task.as_ref().and_then(|task| task.responses.get(&machine));
        fingerprint(&(response, proposer.transition.responses.get(&machine)))
    };
    let proposers: Vec<u64> = state.proposers.iter().map(proposer_fingerprint).collect();
    let reads: Vec<bool> = state.replicas.iter().map(|replica| replica.reads.contains_key(&machine)).collect();
    fingerprint(&(state.replicas[machine].fingerprint(), proposers, reads))
}

/// Returns the renumbering that sorts the machines of a group, or `None` if they are in order.
fn renumbering(state: &State, group: &[usize]) -> Option<Renumbering> {
    let mut sorted: Vec<(u64, usize)> =
        group.iter().map(|machine| (machine_fingerprint(state, *machine), *machine)).collect();
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
