//! Seeded experiments: healthy and faulty versions, analysed from batches as routers report them.

use super::{CanaryAnalysis, Verdict};
use crate::{SampleBatch, Variant};

const BATCH_MS: u64 = 250;

/// A small generator of uniform numbers in 0..1.
struct UniformRng(u64);

impl UniformRng {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What each version does to requests of two routes.
#[derive(Clone, Copy)]
struct Scenario {
    stable_failure_rate: f64,
    /// By route.
    candidate_failure_rates: [f64; 2],
    faulty_from_ms: u64,
    slowdown: f64,
    candidate_per_s: f64,
}

const HEALTHY: Scenario = Scenario {
    stable_failure_rate: 0.005,
    candidate_failure_rates: [0.005; 2],
    faulty_from_ms: 0,
    slowdown: 1.0,
    candidate_per_s: 25.0,
};

/// Returns the verdict after a time, and when the first alarm came.
fn simulate(scenario: &Scenario, seed: u64, length_ms: u64) -> (Verdict, Option<u64>) {
    let mut rng = UniformRng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) + 1);
    let mut analysis = CanaryAnalysis::new(0);
    let mut now = 0;
    while now < length_ms {
        now += BATCH_MS;
        for (number, route) in ["long", "short"].into_iter().enumerate() {
            for (variant, per_s) in
                [(Variant::Stable, scenario.candidate_per_s * 10.0), (Variant::Candidate, scenario.candidate_per_s)]
            {
                let is_faulty = variant == Variant::Candidate && now > scenario.faulty_from_ms;
                let failure_rate =
                    if is_faulty { scenario.candidate_failure_rates[number] } else { scenario.stable_failure_rate };
                let mut batch = SampleBatch::default();
                let expected = per_s / 2.0 * BATCH_MS as f64 / 1000.0;
                let count = expected.floor() as u64 + u64::from(rng.next() < expected.fract());
                for _ in 0..count {
                    match rng.next() < failure_rate {
                        true => batch.failed += 1,
                        false => batch.succeeded += 1,
                    }
                    let slowdown = if is_faulty { scenario.slowdown } else { 1.0 };
                    batch.event_intervals.push(((8000.0 * slowdown * (0.5 + rng.next())) as u64, 1));
                }
                analysis.record(route, variant, &batch, now);
            }
        }
        if matches!(analysis.verdict(), Verdict::Failing | Verdict::Slow) {
            return (analysis.verdict(), Some(now));
        }
    }
    (analysis.verdict(), None)
}

fn alarms(scenario: &Scenario, length_ms: u64, seeds: u64) -> Vec<u64> {
    (0..seeds).filter_map(|seed| simulate(scenario, seed, length_ms).1).collect()
}

#[test]
fn a_healthy_version_seldom_raises_an_alarm_and_is_found_healthy() {
    for stable_failure_rate in [0.0, 0.01, 0.05, 0.2] {
        let scenario = Scenario { stable_failure_rate, candidate_failure_rates: [stable_failure_rate; 2], ..HEALTHY };
        let alarms = alarms(&scenario, 15_000, 400).len();
        assert!(alarms <= 8, "{alarms} of 400 at {stable_failure_rate}");
    }
    let healthy = (0..200).filter(|seed| simulate(&HEALTHY, *seed, 8000).0 == Verdict::Healthy).count();
    assert!(healthy >= 190, "{healthy} of 200");
}

#[test]
fn a_version_that_fails_is_found_within_two_seconds() {
    for share in [0.3, 0.5] {
        let scenario = Scenario { candidate_failure_rates: [share; 2], ..HEALTHY };
        let alarm_times = alarms(&scenario, 15_000, 300);
        assert_eq!(alarm_times.len(), 300);
        assert!(alarm_times.iter().filter(|at| **at > 3000).count() <= 6, "{share}: {:?}", alarm_times.iter().max());
    }
}

#[test]
fn a_version_that_becomes_faulty_late_is_found_as_fast() {
    let scenario = Scenario { candidate_failure_rates: [0.4; 2], faulty_from_ms: 4000, ..HEALTHY };
    let alarm_times = alarms(&scenario, 15_000, 300);
    assert_eq!(alarm_times.len(), 300);
    assert!(alarm_times.iter().filter(|at| **at > 7000).count() <= 3, "{:?}", alarm_times.iter().max());
    assert!(alarm_times.iter().filter(|at| **at < 4000).count() <= 3);
}

#[test]
fn a_version_that_is_faulty_on_one_route_is_found() {
    let scenario = Scenario { candidate_failure_rates: [0.4, 0.005], ..HEALTHY };
    let alarm_times = alarms(&scenario, 15_000, 300);
    assert_eq!(alarm_times.len(), 300);
    assert!(alarm_times.iter().filter(|at| **at > 4000).count() <= 6, "{:?}", alarm_times.iter().max());
}

#[test]
fn a_version_that_is_several_times_slower_is_found() {
    let scenario = Scenario { slowdown: 4.0, ..HEALTHY };
    let alarm_times = alarms(&scenario, 15_000, 100);
    assert_eq!(alarm_times.len(), 100);
    assert!(alarm_times.iter().all(|at| *at <= 3000));
}

#[test]
fn failures_that_all_versions_share_are_not_attributed_to_the_candidate() {
    let scenario = Scenario { stable_failure_rate: 0.3, candidate_failure_rates: [0.3; 2], ..HEALTHY };
    let alarms = alarms(&scenario, 8000, 200).len();
    assert!(alarms <= 10, "{alarms} of 200");
}

#[test]
fn without_samples_the_verdict_is_inconclusive() {
    assert_eq!(CanaryAnalysis::new(0).verdict(), Verdict::Inconclusive);
}
