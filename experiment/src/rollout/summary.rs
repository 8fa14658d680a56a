//! Runs many trials of a scenario and summarizes their outcomes.

use std::thread;

use protocol::version_rollout::RolloutState;
use serde::Serialize;

use crate::rollout::{simulate, Ablation, Disturbance, Fleet, Scenario, TrialOutcome, Version};

/// The outcomes of the trials of one scenario.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// The scenario.
    pub scenario: Scenario,
    /// The number of trials.
    pub terms: u64,
    /// The number of trials in which the rollout completed, so that the candidate replaced the stable version.
    pub complete: u64,
    /// The number of trials in which the candidate was rolled back.
    pub reverted: u64,
    /// The number of trials in which the candidate got more requests than a faulty version may get.
    pub over_exposed: u64,
    /// The candidate's largest share of the requests of a trial.
    pub largest_share: f64,
}

/// Runs trials of a scenario on all processors. The same seed gives the same summary.
pub fn run(scenario: &Scenario, trial_count: u64, seed: u64) -> Summary {
    let workers = thread::available_parallelism().map_or(1, |count| count.get() as u64).min(trial_count.max(1));
    let outcomes: Vec<TrialOutcome> = thread::scope(|scope| {
        let worker = |first: u64| {
            move || -> Vec<TrialOutcome> {
                let trial_numbers = (first..trial_count).step_by(workers as usize);
                trial_numbers
                    .map(|trial_number| simulate(scenario, seed.wrapping_mul(1_000_003) + trial_number))
                    .collect()
            }
        };
        let handles: Vec<_> = (0..workers).map(|first| scope.spawn(worker(first))).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("a trial panicked")).collect()
    });
    summarize(scenario, &outcomes)
}

fn summarize(scenario: &Scenario, outcomes: &[TrialOutcome]) -> Summary {
    let count = |matches: fn(&TrialOutcome) -> bool| outcomes.iter().filter(|outcome| matches(outcome)).count() as u64;
    let share = |outcome: &TrialOutcome| outcome.candidate_requests as f64 / outcome.requests.max(1) as f64;
    Summary {
        scenario: *scenario,
        terms: outcomes.len() as u64,
        complete: count(|outcome| outcome.state == RolloutState::Complete),
        reverted: count(|outcome| outcome.state == RolloutState::Reverted),
        over_exposed: count(TrialOutcome::exceeds_exposure),
        largest_share: outcomes.iter().map(share).fold(0.0, f64::max),
    }
}

/// Returns the standard scenarios: each version combined with each disturbance.
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
