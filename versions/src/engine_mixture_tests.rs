//! What the outcomes of one engine say.

use super::{either, failing_probability, Counts, EngineHistory, Observed};

const RATE: f64 = 0.01;
const SELDOM_FAILING: f64 = 0.01;
const OFTEN_FAILING: f64 = 0.3;

fn observed(passed: u32, bad: u32) -> Observed {
    Observed::new(Counts { passed: passed.into(), bad: bad.into() }, RATE)
}

fn ratio(passed: u32, bad: u32, failing_share: f64) -> f64 {
    observed(passed, bad).log_likelihood_ratios(failing_share, &[0.5])[0]
}

#[test]
fn a_rate_of_either_of_two_reasons_counts_requests_once() {
    assert!((either(0.5, 0.5) - 0.75).abs() < 1e-12);
    assert!((either(0.0, 0.3) - 0.3).abs() < 1e-12);
}

#[test]
fn one_failing_engine_adds_the_less_the_more_engines_fail_by_themselves() {
    let [seldom, often] = [SELDOM_FAILING, OFTEN_FAILING].map(|share| ratio(50, 50, share));
    assert!((4.0..7.0).contains(&seldom), "{seldom}");
    assert!((0.0..2.5).contains(&often), "{often}");
    assert!((ratio(500, 500, SELDOM_FAILING) - seldom).abs() < 2.0, "however many of its requests fail");
}

#[test]
fn one_sound_engine_is_evidence_against_a_fault_even_where_many_fail_by_themselves() {
    assert!(ratio(20, 0, SELDOM_FAILING) < -10.0);
    assert!(ratio(20, 0, OFTEN_FAILING) < -5.0);
    assert!(ratio(20, 0, OFTEN_FAILING) + 2.0 * ratio(50, 50, OFTEN_FAILING) < 0.0);
}

#[test]
fn no_samples_say_nothing() {
    assert!(ratio(0, 0, OFTEN_FAILING).abs() < 1e-9);
    let history = EngineHistory { before: observed(30, 10), ..EngineHistory::default() };
    assert!(history.log_likelihood_ratio(OFTEN_FAILING, 0.3).abs() < 1e-9);
}

#[test]
fn an_engine_that_failed_before_says_little_about_what_changed() {
    let ratio = |before, after| EngineHistory { before, after }.log_likelihood_ratio(SELDOM_FAILING, 0.45);
    let was_sound = ratio(observed(30, 0), observed(10, 10));
    let failed_before = ratio(observed(15, 15), observed(10, 10));
    assert!(was_sound > 5.0, "{was_sound}");
    assert!(failed_before < 1.0, "{failed_before}");
}

#[test]
fn an_engine_is_taken_for_failing_by_its_outcomes() {
    let probability =
        |passed: u32, bad: u32| failing_probability(Counts { passed: passed.into(), bad: bad.into() }, 0.1, RATE);
    assert!(probability(20, 0) < 0.02);
    assert!(probability(10, 6) > 0.99);
    assert!((probability(0, 0) - 0.1).abs() < 1e-9);
}
