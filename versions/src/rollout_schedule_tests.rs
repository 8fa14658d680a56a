//! The steps of a rollout.

use super::{RolloutSchedule, RolloutStage, RolloutStep, FULL_SHARE};
use crate::Verdict;

const EXPOSURE_SHARE: f64 = 0.1;

fn schedule(duration_ms: u64) -> RolloutSchedule {
    RolloutSchedule { duration_ms, exposure_share: EXPOSURE_SHARE }
}

/// Runs a rollout to its end; returns the last step, its time, and the candidate's mean share over the duration.
fn simulate(duration_ms: u64, verdict: impl Fn(u64) -> Verdict) -> (RolloutStep, u64, f64) {
    let schedule = schedule(duration_ms);
    let (mut share, mut since, mut sum) = (0, 0, 0.0);
    for now in (0..=duration_ms).step_by(100) {
        match schedule.next_step(share, now - since, now, verdict(now)) {
            RolloutStep::Hold => {}
            RolloutStep::SetShare(next) => (share, since) = (next, now),
            end => return (end, now, sum / duration_ms as f64),
        }
        sum += f64::from(share) / 1000.0 * 100.0;
    }
    (RolloutStep::Hold, duration_ms, sum / duration_ms as f64)
}

#[test]
fn a_healthy_version_completes_before_the_duration_ends() {
    for duration_ms in [8000, 12_000, 14_000, 17_000, 60_000] {
        let (step, ended_at, _) = simulate(duration_ms, |_| Verdict::HealthyUnderLoad);
        assert_eq!(step, RolloutStep::Complete);
        assert!(ended_at + 300 <= duration_ms, "{duration_ms}: {ended_at}");
    }
}

#[test]
fn an_alarm_rolls_back_at_once_at_any_time() {
    for detected_at in [0, 3000, 5000, 9000, 10_000] {
        for alarm in [Verdict::Failing, Verdict::FailingUnderLoad, Verdict::Slow] {
            let verdict = |now: u64| if now >= detected_at { alarm } else { Verdict::HealthyUnderLoad };
            let (step, ended_at, _) = simulate(12_000, verdict);
            assert_eq!((step, ended_at), (RolloutStep::RollBack, detected_at));
        }
    }
}

#[test]
fn an_inconclusive_version_stays_below_the_exposure_share_and_is_rolled_back_in_time() {
    for duration_ms in [8000, 12_000, 30_000] {
        let (step, ended_at, mean_share) = simulate(duration_ms, |_| Verdict::Inconclusive);
        assert_eq!(step, RolloutStep::RollBack);
        assert!(ended_at < duration_ms && mean_share < 0.1, "{duration_ms}: {ended_at} {mean_share}");
    }
}

#[test]
fn a_fault_withdrawn_within_the_reaction_time_stays_below_the_exposure_share() {
    // The version becomes faulty at any time before the last stage, and is rolled back half a second later.
    for duration_ms in (8000..=60_000).step_by(500) {
        let schedule = schedule(duration_ms);
        let end_of_load_test = schedule.canary_ms() + 1300;
        for faulty_at in (0..=end_of_load_test - 500).step_by(100) {
            let withdrawn_at = faulty_at + 500;
            let verdict = |now: u64| if now >= withdrawn_at { Verdict::Failing } else { Verdict::HealthyUnderLoad };
            let (step, _, share) = simulate(duration_ms, verdict);
            assert_eq!(step, RolloutStep::RollBack);
            assert!(share < 0.1, "{duration_ms}, faulty at {faulty_at}: {share}");
        }
    }
}

#[test]
fn the_exposure_before_the_last_stage_stays_within_the_allowed_share() {
    for duration_ms in (8000..=60_000).step_by(100) {
        for exposure_share in [0.05, 0.1, 0.2] {
            let schedule = RolloutSchedule { duration_ms, exposure_share };
            let has_min_share = schedule.load_test_share() == 101;
            let allowed_ms = exposure_share * duration_ms as f64;
            assert!(has_min_share || schedule.exposure_ms() <= allowed_ms + 1.0, "{duration_ms} {exposure_share}");
        }
    }
}

#[test]
fn the_canary_lasts_until_the_load_test_must_begin() {
    for (duration_ms, last_stage_ms) in [(8000, 2000), (10_000, 2500), (12_000, 3000), (60_000, 3000)] {
        assert_eq!(schedule(duration_ms).canary_ms() + 1300 + last_stage_ms + 300, duration_ms);
    }
}

#[test]
fn a_request_moves_in_the_last_stage_if_it_would_not_end_before_completion() {
    let schedule = schedule(12_000);
    assert!(!schedule.has_moved(8700, 2999) && schedule.has_moved(8700, 3000));
    assert!(!schedule.has_moved(11_699, 0) && schedule.has_moved(11_700, 0));
}

#[test]
fn an_inconclusive_verdict_at_the_end_holds_and_then_rolls_back() {
    let schedule = schedule(12_000);
    let step = |elapsed_ms, verdict| schedule.next_step(FULL_SHARE, 3000, elapsed_ms, verdict);
    assert_eq!(step(11_699, Verdict::Healthy), RolloutStep::Hold);
    assert_eq!(step(11_700, Verdict::Healthy), RolloutStep::Complete);
    assert_eq!(step(11_700, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(step(11_800, Verdict::HealthyUnderLoad), RolloutStep::Complete);
    assert_eq!(step(11_900, Verdict::Inconclusive), RolloutStep::RollBack);
}

#[test]
fn a_rollout_ends_soon_from_the_notice_before_completion_until_its_duration_ends() {
    let schedule = schedule(12_000);
    let is_soon: Vec<bool> = [11_149, 11_150, 11_999, 12_000].map(|elapsed_ms| schedule.ends_soon(elapsed_ms)).into();
    assert_eq!(is_soon, [false, true, true, false]);
}

#[test]
fn an_inconclusive_verdict_after_the_canary_holds_for_the_grace_period() {
    let schedule = schedule(12_000);
    let (canary_ms, share) = (schedule.canary_ms(), schedule.canary_share());
    assert_eq!(schedule.next_step(share, canary_ms, canary_ms, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(
        schedule.next_step(share, canary_ms + 400, canary_ms + 400, Verdict::Inconclusive),
        RolloutStep::RollBack
    );
}

#[test]
fn a_load_test_without_a_healthy_verdict_is_extended_and_then_rolled_back() {
    let schedule = schedule(12_000);
    let share = schedule.load_test_share();
    let step = |time_at_share_ms, verdict| schedule.next_step(share, time_at_share_ms, 9000, verdict);
    assert_eq!(step(1200, Verdict::HealthyUnderLoad), RolloutStep::Hold);
    assert_eq!(step(1300, Verdict::HealthyUnderLoad), RolloutStep::SetShare(FULL_SHARE));
    assert_eq!(step(1300, Verdict::Healthy), RolloutStep::Hold, "too few samples under load");
    assert_eq!(step(1300, Verdict::Unprovable), RolloutStep::Hold);
    assert_eq!(step(2200, Verdict::Unprovable), RolloutStep::RollBack);
    assert_eq!(step(2200, Verdict::Healthy), RolloutStep::RollBack);
    assert_eq!(step(1300, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(step(1900, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(step(2200, Verdict::Inconclusive), RolloutStep::RollBack);
}

#[test]
fn a_rollout_completes_only_after_the_minimum_length_of_the_last_stage() {
    let schedule = schedule(12_000);
    assert_eq!(schedule.next_step(FULL_SHARE, 100, 11_900, Verdict::HealthyUnderLoad), RolloutStep::Hold);
    assert_eq!(schedule.next_step(FULL_SHARE, 1199, 11_900, Verdict::HealthyUnderLoad), RolloutStep::Hold);
    assert_eq!(schedule.next_step(FULL_SHARE, 1200, 11_900, Verdict::HealthyUnderLoad), RolloutStep::Complete);
}

#[test]
fn the_stage_follows_from_the_share() {
    let schedule = schedule(12_000);
    assert_eq!(RolloutStage::of(0), RolloutStage::Canary);
    assert_eq!(RolloutStage::of(schedule.canary_share()), RolloutStage::Canary);
    assert_eq!(RolloutStage::of(schedule.load_test_share()), RolloutStage::LoadTest);
    assert_eq!(RolloutStage::of(FULL_SHARE), RolloutStage::Full);
}
