//! How tests explore a scenario. `LEDGER_MODEL_STATES` sets how many states the bounded ones visit; whoever sets
//! it sees, for each scenario, how many there were and how long it took.

use std::env;
use std::time::Instant;

use super::explore::{explore, Counterexample, Report};
use super::scenario::{Operation, Scenario, Workload};
use super::Model;

const STATES_VARIABLE: &str = "LEDGER_MODEL_STATES";

/// A membership of this many members that are interchangeable, and nothing else.
pub fn members_only(members: usize) -> Scenario {
    let interchangeable = vec![(0..members).collect()];
    Scenario { machines: members, member_count: members, interchangeable, ..Scenario::default() }
}

/// A proposer that does these operations one after the other, with this many attempts in total.
pub fn proposer(operations: &[Operation], attempts: u8) -> Workload {
    Workload { operations: operations.to_vec(), attempts }
}

fn run(name: &str, scenario: &Scenario, bound: usize) -> Report<Model> {
    let begun = Instant::now();
    let report = explore(&Model::new(scenario.clone()), bound);
    println!(
        "{name}: {} states, {} transitions, depth {}, {}, {:.1} s",
        report.states,
        report.transitions,
        report.depth,
        if report.complete { "complete" } else { "not complete" },
        begun.elapsed().as_secs_f64(),
    );
    report
}

/// Shows a violation. It is looked for again with machines that keep their numbers, so that the trace reads well.
fn fail(name: &str, scenario: &Scenario) -> ! {
    let numbered = Scenario { interchangeable: Vec::new(), ..scenario.clone() };
    let found = explore(&Model::new(numbered), usize::MAX).counterexample.expect("the violation");
    let trace: Vec<String> = found.trace.iter().map(|action| format!("{action:?}")).collect();
    panic!("{name}: {:?} after\n  {}", found.violation, trace.join("\n  "));
}

/// Every state of the scenario is visited, and all is well in each.
pub fn holds_in_every_state(name: &str, scenario: &Scenario) {
    let report = run(name, scenario, usize::MAX);
    if report.counterexample.is_some() {
        fail(name, scenario);
    }
    assert!(report.complete, "{name}");
}

/// As many states as `states` or the variable says are visited, those nearest to the initial one first.
pub fn holds_in_first_states(name: &str, scenario: &Scenario, states: usize) {
    let wanted = env::var(STATES_VARIABLE).ok().map(|text| text.parse().expect("a number of states"));
    if run(name, scenario, wanted.unwrap_or(states)).counterexample.is_some() {
        fail(name, scenario);
    }
}

/// The violation that a scenario with a defect leads to.
pub fn finds(name: &str, scenario: &Scenario) -> Counterexample<Model> {
    run(name, scenario, usize::MAX).counterexample.unwrap_or_else(|| panic!("{name}: nothing was found"))
}
