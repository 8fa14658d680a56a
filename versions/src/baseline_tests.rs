//! The rate of sound engines, and those that fail by themselves.

use std::collections::BTreeMap;

use super::{Baseline, MIN_FAILING_SHARE, UNKNOWN_ENGINE};
use crate::engine_mixture::Counts;

/// Returns 40 engines with 20 samples each, of which the first `failing` fail `bad` and the others `bad_elsewhere`.
fn engines(failing: u64, bad: u32, bad_elsewhere: u32) -> BTreeMap<u64, Counts> {
    let counts = |engine| {
        let bad = if engine <= failing { bad } else { bad_elsewhere };
        Counts { passed: f64::from(20 - bad), bad: bad.into() }
    };
    (1..=40).map(|engine| (engine, counts(engine))).collect()
}

#[test]
fn engines_that_fail_by_themselves_do_not_raise_the_rate_of_the_sound_ones() {
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
fn failures_at_all_engines_are_the_rate_of_sound_ones() {
    let baseline = Baseline::estimate(&engines(0, 0, 6));
    assert!((baseline.rate - 0.3).abs() < 0.03, "{}", baseline.rate);
    assert!(baseline.failing_engines.is_empty());
}

#[test]
fn engines_that_are_not_told_apart_count_as_sound() {
    let pooled = BTreeMap::from([(UNKNOWN_ENGINE, Counts { passed: 700.0, bad: 300.0 })]);
    let baseline = Baseline::estimate(&pooled);
    assert!((baseline.rate - 0.3).abs() < 0.02, "{}", baseline.rate);
    assert!(baseline.failing_engines.is_empty());
}

#[test]
fn few_samples_hardly_move_the_rate() {
    let one = BTreeMap::from([(7, Counts { passed: 0.0, bad: 1.0 })]);
    assert!(Baseline::estimate(&one).rate < 0.06);
}

#[test]
fn samples_that_are_not_told_apart_are_left_out_where_others_are_enough() {
    let mut mixed = engines(12, 8, 0);
    mixed.insert(UNKNOWN_ENGINE, Counts { passed: 880.0, bad: 120.0 });
    let baseline = Baseline::estimate(&mixed);
    assert!(baseline.tells_engines_apart && baseline.rate < 0.02, "{}", baseline.rate);
    assert_eq!(baseline.failing_engines.len(), 12);
    let few =
        BTreeMap::from([(7, Counts { passed: 5.0, bad: 0.0 }), (UNKNOWN_ENGINE, Counts { passed: 70.0, bad: 30.0 })]);
    let baseline = Baseline::estimate(&few);
    assert!(!baseline.tells_engines_apart && baseline.rate > 0.2, "{}", baseline.rate);
}
