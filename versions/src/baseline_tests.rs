//! Estimates of the failure rate of healthy engines, and of which engines are failing.

use std::collections::BTreeMap;

use super::{Baseline, MIN_FAILING_SHARE, UNKNOWN_ENGINE};
use crate::engine_mixture::Counts;

/// Returns 40 engines with 20 samples each: the first `failing` engines fail `bad` of them, the others `bad_elsewhere`.
fn engines(failing: u64, bad: u32, bad_elsewhere: u32) -> BTreeMap<u64, Counts> {
    let counts = |engine| {
        let bad = if engine <= failing { bad } else { bad_elsewhere };
        Counts { passed: f64::from(20 - bad), bad: bad.into() }
    };
    (1..=40).map(|engine| (engine, counts(engine))).collect()
}

#[test]
fn failing_engines_do_not_raise_the_rate_of_healthy_engines() {
    for failing in [0, 6, 12, 16] {
        let baseline = Baseline::estimate(&engines(failing, 8, 0));
        assert!(baseline.rate < 0.02, "{failing}: {}", baseline.rate);
        assert_eq!(baseline.failing_engines.len() as u64, failing);
        let share = failing as f64 / 40.0;
        assert!((baseline.failing_share - share).abs() < 0.05, "{failing}: {}", baseline.failing_share);
    }
    assert!(Baseline::estimate(&engines(0, 0, 0)).failing_share < 2.0 * MIN_FAILING_SHARE);
}

#[test]
fn equal_failures_at_all_engines_set_the_rate_of_healthy_engines() {
    let baseline = Baseline::estimate(&engines(0, 0, 6));
    assert!((baseline.rate - 0.3).abs() < 0.03, "{}", baseline.rate);
    assert!(baseline.failing_engines.is_empty());
}

#[test]
fn samples_of_the_unknown_engine_alone_set_the_rate_of_healthy_engines() {
    let pooled = BTreeMap::from([(UNKNOWN_ENGINE, Counts { passed: 700.0, bad: 300.0 })]);
    let baseline = Baseline::estimate(&pooled);
    assert!((baseline.rate - 0.3).abs() < 0.02, "{}", baseline.rate);
    assert!(baseline.failing_engines.is_empty());
}

#[test]
fn a_single_sample_hardly_changes_the_rate() {
    let single = BTreeMap::from([(7, Counts { passed: 0.0, bad: 1.0 })]);
    assert!(Baseline::estimate(&single).rate < 0.06);
}

#[test]
fn samples_of_the_unknown_engine_are_left_out_once_identified_engines_have_enough() {
    let mut mixed = engines(12, 8, 0);
    mixed.insert(UNKNOWN_ENGINE, Counts { passed: 880.0, bad: 120.0 });
    let baseline = Baseline::estimate(&mixed);
    assert!(baseline.excludes_unknown_engine && baseline.rate < 0.02, "{}", baseline.rate);
    assert_eq!(baseline.failing_engines.len(), 12);
    let few =
        BTreeMap::from([(7, Counts { passed: 5.0, bad: 0.0 }), (UNKNOWN_ENGINE, Counts { passed: 70.0, bad: 30.0 })]);
    let baseline = Baseline::estimate(&few);
    assert!(!baseline.excludes_unknown_engine && baseline.rate > 0.2, "{}", baseline.rate);
}
