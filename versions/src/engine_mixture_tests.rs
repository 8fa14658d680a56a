//! Likelihood ratios of the outcomes of one engine.

use super::{combined_rate, failing_probability, Counts, EngineHistory, Observed};

const RATE: f64 = 0.01;
const FEW_FAILING: f64 = 0.01;
const MANY_FAILING: f64 = 0.3;

fn observed(passed: u32, bad: u32) -> Observed {
    Observed::new(Counts { passed: passed.into(), bad: bad.into() }, RATE)
}

fn ratio(passed: u32, bad: u32, failing_share: f64) -> f64 {
    observed(passed, bad).log_likelihood_ratios(failing_share, &[0.5])[0]
}

#[test]
fn the_combined_rate_counts_requests_that_fail_for_both_causes_once() {
    assert!((combined_rate(0.5, 0.5) - 0.75).abs() < 1e-12);
    assert!((combined_rate(0.0, 0.3) - 0.3).abs() < 1e-12);
}

#[test]
fn one_failing_engine_is_weaker_evidence_the_larger_the_share_of_failing_engines() {
    let [few, many] = [FEW_FAILING, MANY_FAILING].map(|share| ratio(50, 50, share));
    assert!((4.0..7.0).contains(&few), "{few}");
    assert!((0.0..2.5).contains(&many), "{many}");
    assert!(
        (ratio(500, 500, FEW_FAILING) - few).abs() < 2.0,
        "the evidence of one engine is bounded, however many of its requests fail"
    );
}

#[test]
fn one_healthy_engine_is_evidence_against_a_fault_even_if_many_engines_are_failing() {
    assert!(ratio(20, 0, FEW_FAILING) < -10.0);
    assert!(ratio(20, 0, MANY_FAILING) < -5.0);
    assert!(ratio(20, 0, MANY_FAILING) + 2.0 * ratio(50, 50, MANY_FAILING) < 0.0);
}

#[test]
fn the_ratio_is_zero_without_samples() {
    assert!(ratio(0, 0, MANY_FAILING).abs() < 1e-9);
    let history = EngineHistory { before: observed(30, 10), ..EngineHistory::default() };
    assert!(history.log_likelihood_ratio(MANY_FAILING, 0.3).abs() < 1e-9);
}

#[test]
fn an_engine_that_failed_before_the_change_is_weak_evidence_of_a_fault() {
    let ratio = |before, after| EngineHistory { before, after }.log_likelihood_ratio(FEW_FAILING, 0.45);
    let was_healthy = ratio(observed(30, 0), observed(10, 10));
    let was_failing = ratio(observed(15, 15), observed(10, 10));
    assert!(was_healthy > 5.0, "{was_healthy}");
    assert!(was_failing < 1.0, "{was_failing}");
}

#[test]
fn the_probability_that_an_engine_is_failing_follows_its_outcomes() {
    let probability =
        |passed: u32, bad: u32| failing_probability(Counts { passed: passed.into(), bad: bad.into() }, 0.1, RATE);
    assert!(probability(20, 0) < 0.02);
    assert!(probability(10, 6) > 0.99);
    assert!((probability(0, 0) - 0.1).abs() < 1e-9);
}
