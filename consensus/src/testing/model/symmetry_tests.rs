//! Compares explorations with and without renumbering.
use super::super::explore::{fingerprint, System};
use super::super::runs::{members_only, workload};
use super::super::scenario::{MembershipChange, Operation, Scenario};
use super::{Model, State};
use std::collections::HashSet;

fn reachable(model: &Model) -> Vec<State> {
    let mut states = vec![model.initial()];
    let mut seen: HashSet<u64> = states.iter().map(fingerprint).collect();
    let mut next = 0;
    while next < states.len() {
        let steps = model.successors(&states[next]);
        let reached = steps.into_iter().filter_map(|step| step.outcome.ok());
        states.extend(reached.filter(|state| seen.insert(fingerprint(state))));
        next += 1;
    }
    states
}

/// Asserts that the states reached without renumbering, once renumbered, are exactly those reached with renumbering.
fn assert_same_reachable_states(scenario: Scenario) {
    let complete = Model::new(Scenario { interchangeable: Vec::new(), ..scenario.clone() });
    let reduced = Model::new(scenario);
    let normalized = reachable(&complete).into_iter().map(|mut state| {
        reduced.normalize(&mut state);
        fingerprint(&state)
    });
    let expected: HashSet<u64> = normalized.collect();
    let found: HashSet<u64> = reachable(&reduced).iter().map(fingerprint).collect();
    assert!(found.len() > 100, "{}", found.len());
    assert!(found == expected, "{} states, expected {}", found.len(), expected.len());
}

#[test]
fn renumbering_preserves_the_reachable_states_of_a_stable_membership() {
    let proposers = vec![workload(&[Operation::Write(1)], 1), workload(&[Operation::Write(2)], 1)];
    assert_same_reachable_states(Scenario { proposers, ..members_only(3) });
}

#[test]
fn renumbering_preserves_the_reachable_states_during_a_membership_change() {
    let membership_change = Some(MembershipChange { leaving: None, candidates: vec![3], coordinators: 1 });
    let earlier_operation = Some((Operation::Write(9), [0, 1].into_iter().collect()));
    let scenario = Scenario { machines: 4, membership_change, earlier_operation, ..members_only(3) };
    assert_same_reachable_states(scenario);
}
