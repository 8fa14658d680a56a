use std::iter;

use kernel::Rng;

use super::{is_sampled, probe_delay, reported_probe_delay, MAX_PROBE_INTERVAL_MS, PROBE_INTERVAL_MS};
use crate::upstream::probe::PROBE_TIMEOUT_MS;

/// Returns the number of probes that all routers together send to an engine that is unresponsive for ten seconds, once
/// one of them suspects it.
fn probe_count(routers: u32) -> u64 {
    let mut rng = Rng::new(u64::from(routers));
    let mut count = 0;
    for router in 0..routers {
        let (mut now, mut unanswered) = (0, 0);
        if router > 0 && !is_sampled(routers, rng.next_u64()) {
            now += PROBE_TIMEOUT_MS + reported_probe_delay(routers, rng.next_u64());
        }
        while now < 10_000 {
            (count, unanswered) = (count + 1, unanswered + 1);
            now += PROBE_TIMEOUT_MS + probe_delay(unanswered, routers, rng.next_u64());
        }
    }
    count
}

#[test]
fn second_probe_follows_soon_and_all_of_few_routers_probe() {
    assert_eq!(probe_delay(1, 1600, 7), PROBE_INTERVAL_MS);
    for routers in 1..=8 {
        assert!((225..=375).contains(&probe_delay(5, routers, u64::from(routers) * 31)), "{routers}");
        assert!((0..99).all(|random| is_sampled(routers, random)), "{routers}");
    }
}

#[test]
fn many_routers_send_hardly_more_probes_than_few() {
    let few = probe_count(8);
    for many in [88, 300, 1600] {
        let probes = probe_count(many);
        assert!(probes < 2 * few, "{probes} probes of {many} routers, {few} probes of 8 routers");
    }
    assert!((0..99).all(|random| probe_delay(9, 1600, random * 37) <= MAX_PROBE_INTERVAL_MS * 5 / 4));
}

#[test]
fn some_of_many_routers_are_always_sampled() {
    for routers in [88u64, 300, 1600] {
        let mut rng = Rng::new(routers);
        let sampled_count = || (0..routers).filter(|_| is_sampled(routers as u32, rng.next_u64())).count();
        let counts: Vec<usize> = iter::repeat_with(sampled_count).take(200).collect();
        assert!(counts.iter().all(|count| (1..=25).contains(count)), "{routers}: {counts:?}");
    }
}
