//! The steps of a rollout.
use super::{Schedule, Step, CANARY_SHARE, WHOLE_SHARE};
use crate::Finding;

/// Plays a rollout to its end with one finding; gives the last step, when it came, and the mean share up to the term.
fn play(duration_ms: u64, finding: impl Fn(u64) -> Finding) -> (Step, u64, f64) {
    let schedule = Schedule { duration_ms };
    let (mut share, mut since, mut sum) = (0, 0, 0.0);
    for now in (0..=duration_ms).step_by(100) {
        match schedule.step(share, now - since, now, finding(now)) {
            Step::Stay => {}
            Step::Share(next) => (share, since) = (next, now),
            end => return (end, now, sum / duration_ms as f64),
        }
        sum += f64::from(share) / 1000.0 * 100.0;
    }
    (Step::Stay, duration_ms, sum / duration_ms as f64)
}

#[test]
fn a_good_version_is_complete_before_its_term() {
    for duration_ms in [8000, 12_000, 14_000, 17_000, 60_000] {
        let (step, at, _) = play(duration_ms, |_| Finding::Good);
        assert_eq!(step, Step::Complete);
        assert!(at + 1000 <= duration_ms, "{duration_ms}: {at}");
    }
}

#[test]
fn a_bad_version_is_reverted_whenever_it_is_found() {
    for found_at in [0, 3000, 5000, 9000, 10_000] {
        let finding = |now: u64| if now >= found_at { Finding::Fails } else { Finding::Good };
        let (step, at, _) = play(12_000, finding);
        assert_eq!((step, at), (Step::Revert, found_at));
    }
    assert_eq!(play(12_000, |_| Finding::Slow).0, Step::Revert);
}

#[test]
fn an_unproved_version_gets_less_than_a_tenth_and_is_given_up_in_time() {
    let (step, at, mean) = play(12_000, |_| Finding::Unsure);
    assert_eq!(step, Step::Revert);
    assert!(at < 12_000 && mean < 0.1, "{at} {mean}");
}

#[test]
fn one_that_turns_bad_as_the_canary_ends_had_less_than_a_tenth_until_then() {
    let schedule = Schedule { duration_ms: 12_000 };
    let canary_ms = schedule.canary_ms();
    let (step, _, mean) = play(12_000, |now| if now >= canary_ms { Finding::Fails } else { Finding::Good });
    assert_eq!(step, Step::Revert);
    assert!(mean < 0.1, "{mean}");
    assert_eq!(schedule.step(CANARY_SHARE, canary_ms, canary_ms, Finding::Unsure), Step::Stay);
    assert_eq!(schedule.step(WHOLE_SHARE, 100, 11_900, Finding::Good), Step::Stay, "all must have moved for a while");
}
