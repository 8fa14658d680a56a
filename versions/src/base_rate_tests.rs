//! The rate over a long time, and that of a bad time.

use super::BaseRate;

#[test]
fn a_bad_time_counts_while_it_lasts() {
    let mut rate = BaseRate::default();
    (0..20).for_each(|step| rate.record(100, 0, step * 100));
    assert!(rate.rate(2000) <= 0.0051);
    rate.record(300, 300, 2100);
    assert!(rate.rate(2100) > 0.1, "{}", rate.rate(2100));
    (0..40).for_each(|step| rate.record(100, 0, 2200 + step * 100));
    let lasting = rate.rate(6200);
    assert!(lasting < 0.06, "{lasting}");
}

#[test]
fn without_new_samples_the_lasting_rate_stays() {
    let mut rate = BaseRate::default();
    rate.record(80, 20, 100);
    let measured = rate.rate(100);
    assert!(measured > 0.15);
    let later = rate.rate(60_000);
    assert!(later > 0.15 && later <= measured, "{later}");
}
