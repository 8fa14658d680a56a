//! Seeded simulations under faults, in which each job must be finished exactly once.

use kernel::Rng;

use super::{reference_plan, simulate, SimulationReport};

fn assert_exactly_once(report: &SimulationReport, jobs: usize) {
    assert_eq!((report.answered_twice, report.run_twice, report.responses_without_run), (0, 0, 0), "{report:?}");
    assert_eq!(
        report.completed + report.unknown + report.deadline_missed,
        jobs,
        "the final states do not add up to the number of jobs: {report:?}"
    );
    assert_eq!(report.unfinished, 0);
}

#[test]
fn a_batch_under_the_reference_faults_finishes_within_its_window() {
    for seed in 1..=8 {
        let plan = reference_plan(seed, 240);
        let report = simulate(&plan, true);
        assert_exactly_once(&report, plan.jobs);
        assert_eq!(report.deadline_missed, 0, "{report:?}");
        assert!(report.last_finish_ms <= plan.window_ms, "{report:?}");
        assert!(report.unknown < 60 && report.completed > 170, "{report:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let plan = reference_plan(5, 100);
    assert_eq!(simulate(&plan, true), simulate(&plan, true));
}

#[test]
fn a_batch_raises_interactive_latency_by_at_most_15_percent() {
    for seed in 1..=5 {
        let plan = reference_plan(seed, 240);
        let (with, without) = (simulate(&plan, true), simulate(&plan, false));
        assert!(
            with.interactive_served > 1000
                && with.interactive_served.abs_diff(without.interactive_served) < with.interactive_served / 5
        );
        assert!(with.interactive_p50_ms as f64 <= without.interactive_p50_ms as f64 * 1.10, "{with:?} {without:?}");
        assert!(with.interactive_p99_ms as f64 <= without.interactive_p99_ms as f64 * 1.15, "{with:?} {without:?}");
    }
}

#[test]
fn crashed_and_frozen_owners_never_finish_a_job_twice() {
    for seed in 1..=30 {
        let mut rng = Rng::new(seed);
        let mut plan = reference_plan(seed, 96);
        plan.non_repeatable_every = 1 + rng.below(3) as usize;
        plan.owner_crashes = (0..3).map(|_| 500 + rng.below(plan.window_ms)).collect();
        plan.owner_freezes = (0..3).map(|_| (500 + rng.below(plan.window_ms), 2000 + rng.below(9000))).collect();
        plan.zone_evacuations = vec![(500 + rng.below(plan.window_ms), rng.below(3) as usize)];
        assert_exactly_once(&simulate(&plan, true), plan.jobs);
    }
}

#[test]
fn system_kills_and_router_losses_never_finish_a_job_twice() {
    for seed in 1..=20 {
        let mut rng = Rng::new(seed);
        let mut plan = reference_plan(seed, 96);
        plan.non_repeatable_every = 1 + rng.below(3) as usize;
        plan.system_kills = (0..3).map(|_| 500 + rng.below(plan.window_ms)).collect();
        plan.router_losses = (0..4).map(|_| 500 + rng.below(plan.window_ms)).collect();
        assert_exactly_once(&simulate(&plan, true), plan.jobs);
    }
}

#[test]
fn jobs_that_miss_their_window_are_reported_as_missed() {
    let mut plan = reference_plan(3, 200);
    plan.window_ms = 2500;
    (plan.zone_evacuations, plan.owner_crashes, plan.owner_freezes) = (Vec::new(), Vec::new(), Vec::new());
    (plan.system_kills, plan.router_losses) = (Vec::new(), Vec::new());
    let report = simulate(&plan, true);
    assert_exactly_once(&report, plan.jobs);
    assert!(report.deadline_missed > 0 && report.completed > 0, "{report:?}");
}

#[test]
fn every_job_gets_a_final_state_with_all_zones_evacuated() {
    let mut plan = reference_plan(4, 64);
    plan.zone_evacuations = vec![(900, 0), (1000, 1), (1100, 2)];
    let report = simulate(&plan, true);
    assert_exactly_once(&report, plan.jobs);
    assert!(report.deadline_missed > 0, "{report:?}");
}
