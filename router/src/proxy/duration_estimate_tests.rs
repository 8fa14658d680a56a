//! Tests the estimate after sequences of short and long requests.

use kernel::Rng;

use super::DurationEstimate;

#[test]
fn expected_duration_is_zero_before_the_first_request() {
    assert_eq!(DurationEstimate::default().expected_ms(), 0);
}

#[test]
fn estimate_converges_to_a_duration_that_few_requests_exceed() {
    let estimate = DurationEstimate::default();
    let mut rng = Rng::new(7);
    let mut longer = 0;
    for number in 0..20_000 {
        let duration_ms = 100 + rng.below(1000);
        if number >= 10_000 && duration_ms > estimate.expected_ms() {
            longer += 1;
        }
        estimate.record(duration_ms);
    }
    assert!((500..2500).contains(&longer), "{longer} of 10000 took longer");
}

#[test]
fn estimate_rises_within_a_few_slow_requests_and_falls_slowly() {
    let estimate = DurationEstimate::default();
    (0..100).for_each(|_| estimate.record(200));
    (0..10).for_each(|_| estimate.record(5000));
    assert!(estimate.expected_ms() > 4500, "{}", estimate.expected_ms());
    (0..20).for_each(|_| estimate.record(200));
    assert!(estimate.expected_ms() > 3000, "{}", estimate.expected_ms());
    (0..400).for_each(|_| estimate.record(200));
    assert!(estimate.expected_ms() < 300, "{}", estimate.expected_ms());
}
