//! Functions with which tests explore a scenario. The environment variable `LEDGER_MODEL_STATES` sets how many states a
//! bounded exploration visits. The number of states and the duration of each exploration are printed.

use std::env;
use std::time::Instant;

use super::explore::{explore, Counterexample, Report};
use super::scenario::{Operation, Scenario, Workload};
use super::Model;

const STATES_VARIABLE: &str = "LEDGER_MODEL_STATES";

/// Returns a scenario with this many interchangeable members and no operations or faults.
pub fn members_only(members: usize) -> Scenario {
    let interchangeable = vec![(0..members).collect()];
    Scenario { machines: members, member_count: members, interchangeable, ..Scenario::default() }
}

/// Returns the workload of a proposer that does these operations in sequence, with this many attempts in total.
pub fn workload(operations: &[Operation], attempts: u8) -> Workload {
    Workload { operations: operations.to_vec(), attempts }
}

fn run(name: &str, scenario: &Scenario, bound: usize) -> Report<Model> {
    let started = Instant::now();
    let report = explore(&Model::new(scenario.clone()), bound);
    println!(
        "{name}: {} states, {} transitions, depth {}, {}, {:.1} s",
        report.states,
        report.transitions,
        report.depth,
        if report.complete { "complete" } else { "not complete" },
        started.elapsed().as_secs_f64(),
    );
    report
}

/// Panics with the trace of a violation. The exploration is repeated without renumbering, so that machines keep their
/// numbers in the trace.
fn panic_with_trace(name: &str, scenario: &Scenario) -> ! {
    let without_renumbering = Scenario { interchangeable: Vec::new(), ..scenario.clone() };
    let found =
        explore(&Model::new(without_renumbering), usize::MAX).counterexample.expect("the violation is found again");
    let trace: Vec<String> = found.trace.iter().map(|action| format!("{action:?}")).collect();
    panic!("{name}: {:?} after\n  {}", found.violation, trace.join("\n  "));
}

/// Checks every state of the scenario.
pub fn check_every_state(name: &str, scenario: &Scenario) {
    let report = run(name, scenario, usize::MAX);
    if report.counterexample.is_some() {
        panic_with_trace(name, scenario);
    }
    assert!(report.complete, "{name}");
}

/// Checks the states nearest to the initial one, as many as the environment variable says, or `states` if it is not
/// set.
pub fn check_first_states(name: &str, scenario: &Scenario, states: usize) {
    let configured =
        env::var(STATES_VARIABLE).ok().map(|text| text.parse().expect("the variable holds a number of states"));
    if run(name, scenario, configured.unwrap_or(states)).counterexample.is_some() {
        panic_with_trace(name, scenario);
    }
}

/// Returns the violation that a scenario with a defect leads to. Panics if there is none.
pub fn find_violation(name: &str, scenario: &Scenario) -> Counterexample<Model> {
    run(name, scenario, usize::MAX).counterexample.unwrap_or_else(|| panic!("{name}: no violation was found"))
}
