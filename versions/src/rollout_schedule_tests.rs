//! The steps of a rollout.

use super::{RolloutSchedule, RolloutStep, CANARY_SHARE, FULL_SHARE};
use crate::Verdict;

/// Runs a rollout to its end; returns the last step, when it came, and the mean share over the duration.
fn simulate(duration_ms: u64, verdict: impl Fn(u64) -> Verdict) -> (RolloutStep, u64, f64) {
    let schedule = RolloutSchedule { duration_ms };
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
        let (step, at, _) = simulate(duration_ms, |_| Verdict::Healthy);
        assert_eq!(step, RolloutStep::Complete);
        assert!(at + 1000 <= duration_ms, "{duration_ms}: {at}");
    }
}

#[test]
fn a_failing_version_is_rolled_back_whenever_it_is_found() {
    for found_at in [0, 3000, 5000, 9000, 10_000] {
        let verdict = |now: u64| if now >= found_at { Verdict::Failing } else { Verdict::Healthy };
        let (step, at, _) = simulate(12_000, verdict);
        assert_eq!((step, at), (RolloutStep::RollBack, found_at));
    }
    assert_eq!(simulate(12_000, |_| Verdict::Slow).0, RolloutStep::RollBack);
}

#[test]
fn an_inconclusive_version_gets_less_than_a_tenth_and_is_rolled_back_in_time() {
    let (step, at, mean) = simulate(12_000, |_| Verdict::Inconclusive);
    assert_eq!(step, RolloutStep::RollBack);
    assert!(at < 12_000 && mean < 0.1, "{at} {mean}");
}

#[test]
fn a_version_that_fails_as_the_canary_ends_had_less_than_a_tenth_until_then() {
    let schedule = RolloutSchedule { duration_ms: 12_000 };
    let canary_ms = schedule.canary_ms();
    let (step, _, mean) = simulate(12_000, |now| if now >= canary_ms { Verdict::Failing } else { Verdict::Healthy });
    assert_eq!(step, RolloutStep::RollBack);
    assert!(mean < 0.1, "{mean}");
    assert_eq!(schedule.next_step(CANARY_SHARE, canary_ms, canary_ms, Verdict::Inconclusive), RolloutStep::Hold);
    assert_eq!(
        schedule.next_step(FULL_SHARE, 100, 11_900, Verdict::Healthy),
        RolloutStep::Hold,
        "all must have moved for a while"
    );
}
