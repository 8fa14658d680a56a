//! One form for states that need not be told apart.
//!
//! Machines that are interchangeable are numbered anew, in the order of what they hold: a state and the one
//! with two of them swapped have the same futures but for the numbers. Late polls that no voter will take any
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
    pub fn normalize(&self, state: &mut State) {
        self.drop_dead_polls(state);
        for group in &self.scenario.interchangeable {
            if let Some(renumbering) = renumbering(state, group) {
                renumber(state, &renumbering);
            }
        }
    }

    /// Without a loss of memory promises and places only rise, so what a voter refuses now it refuses ever after.
    fn drop_dead_polls(&self, state: &mut State) {
        if state.late.is_empty() || state.wipes_left > 0 || state.mute() > 0 {
            return;
        }
        let is_dead = |poll: &Shared<ConsensusRequest>| {
            self.core_facts(&poll.membership).members.iter().all(|machine| is_refused(&state.replicas[machine], poll))
        };
        if state.late.iter().any(is_dead) {
            let alive = state.late.iter().filter(|poll| !is_dead(poll)).cloned().collect();
            state.late = Shared::new(alive);
        }
    }
}

fn is_refused(replica: &Replica, poll: &ConsensusRequest) -> bool {
    let ConsensusOperation::Accept { key, entry } = &poll.operation else { return false };
    let voter = &replica.voter;
    let overtaken = voter.registers.get(key).is_some_and(|slot| {
        slot.prepared > entry.proposal_number
            || slot.entry.as_ref().is_some_and(|held| held.position() >= entry.position())
    });
    voter.membership.version > poll.membership.version || overtaken
}

/// What a state says of one machine, without its number.
fn description(state: &State, machine: usize) -> u64 {
    let of_proposer = |proposer: &Shared<Proposer>| {
        let vote = proposer.task.as_ref().and_then(|task| task.votes.get(&machine));
        fingerprint(&(vote, proposer.settlement.heard.get(&machine)))
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
        let voted = proposer.task.as_ref().is_some_and(|task| !task.votes.is_empty());
        if voted || !proposer.settlement.heard.is_empty() {
            proposer.edit(|proposer| {
                renumber_keys(&mut proposer.settlement.heard, numbers);
                if let Some(task) = &mut proposer.task {
                    renumber_keys(&mut task.votes, numbers);
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
