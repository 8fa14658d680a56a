//! Tests of the search, on a system small enough to count its states by hand.
use super::{explore, Step, System};

/// Two counters that each count from 0 to a limit, in any order.
struct Counters {
    limit: u8,
    forbidden: Option<(u8, u8)>,
}

impl System for Counters {
    type State = (u8, u8);
    type Action = &'static str;
    type Violation = (u8, u8);

    fn initial(&self) -> (u8, u8) {
        (0, 0)
    }

    fn successors(&self, (left, right): &(u8, u8)) -> Vec<Step<Self>> {
        let mut successors = Vec::new();
        if *left < self.limit {
            successors.push(Step { action: "left", outcome: Ok((left + 1, *right)) });
        }
        if *right < self.limit {
            successors.push(Step { action: "right", outcome: Ok((*left, right + 1)) });
        }
        successors
    }

    fn check(&self, state: &(u8, u8)) -> Result<(), (u8, u8)> {
        match self.forbidden == Some(*state) {
            true => Err(*state),
            false => Ok(()),
        }
    }
}

#[test]
fn explore_visits_every_state_once() {
    let report = explore(&Counters { limit: 9, forbidden: None }, usize::MAX);
    assert_eq!((report.states, report.transitions, report.depth, report.complete), (100, 180, 18, true));
    assert!(report.counterexample.is_none());
}

#[test]
fn explore_returns_the_shortest_trace_to_a_violation() {
    let report = explore(&Counters { limit: 9, forbidden: Some((2, 1)) }, usize::MAX);
    let found = report.counterexample.expect("a counterexample");
    assert_eq!((found.violation, found.trace.len()), ((2, 1), 3));
    assert_eq!(found.trace.iter().filter(|action| **action == "left").count(), 2);
    assert!(!report.complete);
}

#[test]
fn explore_finds_a_violation_in_the_initial_state() {
    let report = explore(&Counters { limit: 9, forbidden: Some((0, 0)) }, usize::MAX);
    assert!(report.counterexample.expect("a counterexample").trace.is_empty());
}

#[test]
fn explore_reports_an_exploration_cut_off_by_its_bound_as_incomplete() {
    let report = explore(&Counters { limit: 9, forbidden: None }, 50);
    assert!(!report.complete);
    assert!((50..60).contains(&report.states), "{}", report.states);
}
