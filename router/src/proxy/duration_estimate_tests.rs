//! What is expected after runs of short and long requests.

use kernel::Rng;

use super::DurationEstimate;

#[test]
fn nothing_is_expected_before_the_first() {
    assert_eq!(DurationEstimate::default().expected_ms(), 0);
}

#[test]
fn it_settles_where_few_take_longer() {
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
fn a_slow_spell_is_followed_within_some_requests_and_forgotten_slowly() {
    let estimate = DurationEstimate::default();
    (0..100).for_each(|_| estimate.record(200));
    (0..10).for_each(|_| estimate.record(5000));
    assert!(estimate.expected_ms() > 4500, "{}", estimate.expected_ms());
    (0..20).for_each(|_| estimate.record(200));
    assert!(estimate.expected_ms() > 3000, "{}", estimate.expected_ms());
    (0..400).for_each(|_| estimate.record(200));
    assert!(estimate.expected_ms() < 300, "{}", estimate.expected_ms());
}
