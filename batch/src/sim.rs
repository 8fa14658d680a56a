//! Seeded runs under trouble that count runs and receipts for each job. None sleeps.

use kernel::Rng;

use crate::offpeak::{self, Report};

fn honest(report: &Report, jobs: usize) {
    assert_eq!((report.twice_answered, report.twice_run, report.invented), (0, 0, 0), "{report:?}");
    assert_eq!(report.done + report.unknown + report.missed, jobs, "every job has its receipt: {report:?}");
    assert_eq!(report.open, 0);
}

#[test]
fn an_off_peak_run_survives_halls_that_leave_and_ends_inside_its_window() {
    for seed in 1..=8 {
        let plan = offpeak::plan(seed, 240);
        let report = offpeak::run(&plan, true);
        honest(&report, plan.jobs);
        assert_eq!(report.missed, 0, "{report:?}");
        assert!(report.last_ms <= plan.window_ms, "{report:?}");
        assert!(report.unknown < 60 && report.done > 170, "{report:?}");
    }
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let plan = offpeak::plan(5, 100);
    assert_eq!(offpeak::run(&plan, true), offpeak::run(&plan, true));
}

#[test]
fn interactive_work_hardly_feels_the_batch() {
    for seed in 1..=5 {
        let plan = offpeak::plan(seed, 240);
        let (with, without) = (offpeak::run(&plan, true), offpeak::run(&plan, false));
        assert!(with.served > 1000 && with.served.abs_diff(without.served) < with.served / 5);
        assert!(with.p50_ms as f64 <= without.p50_ms as f64 * 1.10, "{with:?} {without:?}");
        assert!(with.p99_ms as f64 <= without.p99_ms as f64 * 1.15, "{with:?} {without:?}");
    }
}

#[test]
fn owners_that_crash_and_wake_late_never_answer_twice() {
    for seed in 1..=30 {
        let mut dice = Rng::new(seed);
        let mut plan = offpeak::plan(seed, 96);
        plan.once_every = 1 + dice.below(3) as usize;
        plan.crash = (0..3).map(|_| 500 + dice.below(plan.window_ms)).collect();
        plan.freeze = (0..3).map(|_| (500 + dice.below(plan.window_ms), 2000 + dice.below(9000))).collect();
        plan.leave = vec![(500 + dice.below(plan.window_ms), dice.below(3) as usize)];
        honest(&offpeak::run(&plan, true), plan.jobs);
    }
}

#[test]
fn killing_everything_and_losing_routers_never_answers_twice() {
    for seed in 1..=20 {
        let mut dice = Rng::new(seed);
        let mut plan = offpeak::plan(seed, 96);
        plan.once_every = 1 + dice.below(3) as usize;
        plan.kill_all = (0..3).map(|_| 500 + dice.below(plan.window_ms)).collect();
        plan.lose_router = (0..4).map(|_| 500 + dice.below(plan.window_ms)).collect();
        honest(&offpeak::run(&plan, true), plan.jobs);
    }
}

#[test]
fn a_window_that_cannot_be_made_is_told_plainly() {
    let mut plan = offpeak::plan(3, 200);
    plan.window_ms = 2500;
    (plan.leave, plan.crash, plan.freeze) = (Vec::new(), Vec::new(), Vec::new());
    (plan.kill_all, plan.lose_router) = (Vec::new(), Vec::new());
    let report = offpeak::run(&plan, true);
    honest(&report, plan.jobs);
    assert!(report.missed > 0 && report.done > 0, "{report:?}");
}

#[test]
fn with_no_hall_left_every_job_still_ends() {
    let mut plan = offpeak::plan(4, 64);
    plan.leave = vec![(900, 0), (1000, 1), (1100, 2)];
    let report = offpeak::run(&plan, true);
    honest(&report, plan.jobs);
    assert!(report.missed > 0, "{report:?}");
}
