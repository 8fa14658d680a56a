//! Many terms of a scenario, and what came of them.

use std::thread;

use protocol::version_rollout::RolloutState;
use serde::Serialize;

use crate::rollout::{simulate, Ablation, Disturbance, Fleet, Scenario, TermOutcome, Version};

/// What came of the terms of one scenario.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The scenario.
    pub scenario: Scenario,
    /// Terms played.
    pub terms: u64,
    /// Those in which the version became the only one.
    pub complete: u64,
    /// Those in which it was taken back.
    pub reverted: u64,
    /// Those in which it had more requests than a faulty version may have.
    pub over_exposed: u64,
    /// The largest share of a term's requests that it had.
    pub largest_share: f64,
}

/// Plays terms of a scenario on all processors. The same seed gives the same summary.
pub fn run(scenario: &Scenario, terms: u64, seed: u64) -> Summary {
    let workers = thread::available_parallelism().map_or(1, |count| count.get() as u64).min(terms.max(1));
    let outcomes: Vec<TermOutcome> = thread::scope(|scope| {
        let worker = |first: u64| {
            move || -> Vec<TermOutcome> {
                let numbers = (first..terms).step_by(workers as usize);
                numbers.map(|number| simulate(scenario, seed.wrapping_mul(1_000_003) + number)).collect()
            }
        };
        let handles: Vec<_> = (0..workers).map(|first| scope.spawn(worker(first))).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("a term does not panic")).collect()
    });
    summarize(scenario, &outcomes)
}

fn summarize(scenario: &Scenario, outcomes: &[TermOutcome]) -> Summary {
    let count = |is_counted: fn(&TermOutcome) -> bool| outcomes.iter().filter(|term| is_counted(term)).count() as u64;
    let share = |term: &TermOutcome| term.candidate_requests as f64 / term.requests.max(1) as f64;
    Summary {
        scenario: *scenario,
        terms: outcomes.len() as u64,
        complete: count(|term| term.state == RolloutState::Complete),
        reverted: count(|term| term.state == RolloutState::Reverted),
        over_exposed: count(TermOutcome::exceeds_exposure),
        largest_share: outcomes.iter().map(share).fold(0.0, f64::max),
    }
}

/// Returns the scenarios of the table: each version beside each disturbance.
pub fn standard_scenarios(fleet: Fleet, duration_ms: u64, ablation: Ablation) -> Vec<Scenario> {
    let versions = [
        Version::Good,
        Version::Errors(0.1),
        Version::Errors(0.5),
        Version::Slow(1.7),
        Version::Slow(3.0),
        Version::UnderLoad,
        Version::OneRoute,
        Version::Late(4000),
    ];
    let disturbances = [
        Disturbance::Nothing,
        Disturbance::GreyErrors(0.3),
        Disturbance::GreyErrorsAtLoad(0.3),
        Disturbance::FailAll(0.2),
        Disturbance::GreySlow(0.3),
        Disturbance::ZoneLost,
        Disturbance::Everywhere(0.1),
    ];
    let scenario = |version, disturbance| Scenario { fleet, duration_ms, version, disturbance, ablation };
    versions.into_iter().flat_map(|version| disturbances.map(|disturbance| scenario(version, disturbance))).collect()
}
