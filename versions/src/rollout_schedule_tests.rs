//! The steps of a rollout.

use super::{RolloutSchedule, RolloutStage, RolloutStep, FULL_SHARE};
use crate::Verdict;

const EXPOSURE_SHARE: f64 = 0.1;

fn schedule(duration_ms: u64) -> RolloutSchedule {
    RolloutSchedule { duration_ms, exposure_share: EXPOSURE_SHARE }
}

/// Runs a rollout to its end; returns the last step, when it came, and the mean share over the duration.
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
fn a_healthy_version_is_complete_before_its_duration_ends() {
    for duration_ms in [8000, 12_000, 14_000, 17_000, 60_000] {
        let (step, at, _) = simulate(duration_ms, |_| Verdict::HealthyUnderLoad);
        assert_eq!(step, RolloutStep::Complete);
        assert!(at + 300 <= duration_ms, "{duration_ms}: {at}");
    }
}

#[test]
fn a_failing_version_is_rolled_back_whenever_it_is_found() {
    for found_at in [0, 3000, 5000, 9000, 10_000] {
        for bad in [Verdict::Failing, Verdict::FailingUnderLoad, Verdict::Slow] {
            let verdict = |now: u64| if now >= found_at { bad } else { Verdict::HealthyUnderLoad };
            let (step, at, _) = simulate(12_000, verdict);
            assert_eq!((step, at), (RolloutStep::RollBack, found_at));
        }
    }
}

#[test]
fn an_inconclusive_version_gets_less_than_a_tenth_and_is_rolled_back_in_time() {
    for duration_ms in [8000, 12_000, 30_000] {
        let (step, at, mean) = simulate(duration_ms, |_| Verdict::Inconclusive);
        assert_eq!(step, RolloutStep::RollBack);
        assert!(at < duration_ms && mean < 0.1, "{duration_ms}: {at} {mean}");
    }
}

#[test]
fn a_version_that_is_found_within_the_reaction_time_had_less_than_a_tenth_until_then() {
    // It becomes faulty at any moment before it gets all requests, and is found and withdrawn half a second later.
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
fn the_exposure_before_the_full_share_is_bounded_by_arithmetic() {
    for duration_ms in (8000..=60_000).step_by(100) {
        for exposure_share in [0.05, 0.1, 0.2] {
            let schedule = RolloutSchedule { duration_ms, exposure_share };
            let is_short = schedule.load_test_share() == 101;
            let allowed_ms = exposure_share * duration_ms as f64;
            assert!(is_short || schedule.exposure_ms() <= allowed_ms + 1.0, "{duration_ms} {exposure_share}");
        }
    }
}

#[test]
fn the_canary_lasts_until_load_test_and_last_stage_must_begin() {
    for (duration_ms, last_stage_ms) in [(8000, 2000), (10_000, 2500), (12_000, 3000), (60_000, 3000)] {
        assert_eq!(schedule(duration_ms).canary_ms() + 1300 + last_stage_ms + 300, duration_ms);
    }
}

#[test]
fn a_request_moves_in_the_last_stage_when_it_would_not_end_before_the_stable_version_does() {
    let schedule = schedule(12_000);
    assert!(!schedule.has_moved(8700, 2999) && schedule.has_moved(8700, 3000));
    assert!(!schedule.has_moved(11_699, 0) && schedule.has_moved(11_700, 0));
}

#[test]
fn a_version_that_is_suspected_at_the_end_is_not_complete() {
    let schedule = schedule(12_000);
    let step = |elapsed_ms, verdict| schedule.next_step(FULL_SHARE, 3000, elapsed_ms, verdict);
    assert_eq!(step(11_699, Verdict::Healthy), RolloutStep::Hold);
    assert_eq!(step(11_700, Verdict::Healthy), RolloutStep::Complete);
    assert_eq!(step(11_700, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(step(11_800, Verdict::HealthyUnderLoad), RolloutStep::Complete);
    assert_eq!(step(11_900, Verdict::Inconclusive), RolloutStep::RollBack);
}

#[test]
fn the_end_is_soon_shortly_before_it_is_due_and_until_the_duration_ends() {
    let schedule = schedule(12_000);
    let is_soon: Vec<bool> = [11_149, 11_150, 11_999, 12_000].map(|elapsed_ms| schedule.ends_soon(elapsed_ms)).into();
    assert_eq!(is_soon, [false, true, true, false]);
}

#[test]
fn a_version_that_is_inconclusive_as_the_canary_ends_is_waited_for() {
    let schedule = schedule(12_000);
    let (canary_ms, share) = (schedule.canary_ms(), schedule.canary_share());
    assert_eq!(schedule.next_step(share, canary_ms, canary_ms, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(
        schedule.next_step(share, canary_ms + 400, canary_ms + 400, Verdict::Inconclusive),
        RolloutStep::RollBack
    );
}

#[test]
fn a_load_test_that_shows_something_goes_on_for_a_while_and_ends_in_a_rollback() {
    let schedule = schedule(12_000);
    let share = schedule.load_test_share();
    let step = |share_for_ms, verdict| schedule.next_step(share, share_for_ms, 9000, verdict);
    assert_eq!(step(1200, Verdict::HealthyUnderLoad), RolloutStep::Hold);
    assert_eq!(step(1300, Verdict::HealthyUnderLoad), RolloutStep::SetShare(FULL_SHARE));
    assert_eq!(step(1300, Verdict::Healthy), RolloutStep::Hold, "nothing was seen under load");
    assert_eq!(step(1300, Verdict::Unprovable), RolloutStep::Hold);
    assert_eq!(step(2200, Verdict::Unprovable), RolloutStep::RollBack);
    assert_eq!(step(2200, Verdict::Healthy), RolloutStep::RollBack);
    assert_eq!(step(1300, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(step(1900, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(step(2200, Verdict::Inconclusive), RolloutStep::RollBack);
}

#[test]
fn all_must_have_moved_for_a_while_before_a_rollout_is_complete() {
    let schedule = schedule(12_000);
    assert_eq!(schedule.next_step(FULL_SHARE, 100, 11_900, Verdict::HealthyUnderLoad), RolloutStep::Hold);
    assert_eq!(schedule.next_step(FULL_SHARE, 1199, 11_900, Verdict::HealthyUnderLoad), RolloutStep::Hold);
    assert_eq!(schedule.next_step(FULL_SHARE, 1200, 11_900, Verdict::HealthyUnderLoad), RolloutStep::Complete);
}

#[test]
fn a_stage_follows_from_its_share() {
    let schedule = schedule(12_000);
    assert_eq!(RolloutStage::of(0), RolloutStage::Canary);
    assert_eq!(RolloutStage::of(schedule.canary_share()), RolloutStage::Canary);
    assert_eq!(RolloutStage::of(schedule.load_test_share()), RolloutStage::LoadTest);
    assert_eq!(RolloutStage::of(FULL_SHARE), RolloutStage::Full);
}
