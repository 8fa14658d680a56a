use std::iter;

use kernel::Rng;

use super::{is_sampled, probe_delay, reported_probe_delay, MAX_PROBE_INTERVAL_MS, PROBE_INTERVAL_MS};
use crate::upstream::probe::PROBE_TIMEOUT_MS;

/// Probes that all routers send to one engine that stays dark for ten seconds, once one of them has doubted it.
fn probes(routers: u32) -> u64 {
    let mut rng = Rng::new(u64::from(routers));
    let mut count = 0;
    for router in 0..routers {
        let (mut now, mut asked) = (0, 0);
        if router > 0 && !is_sampled(routers, rng.next_u64()) {
            now += PROBE_TIMEOUT_MS + reported_probe_delay(routers, rng.next_u64());
        }
        while now < 10_000 {
            (count, asked) = (count + 1, asked + 1);
            now += PROBE_TIMEOUT_MS + probe_delay(asked, routers, rng.next_u64());
        }
    }
    count
}

#[test]
fn a_false_alarm_is_short_and_few_routers_ask_as_before() {
    assert_eq!(probe_delay(1, 1600, 7), PROBE_INTERVAL_MS);
    for routers in 1..=8 {
        assert!((225..=375).contains(&probe_delay(5, routers, u64::from(routers) * 31)), "{routers}");
        assert!((0..99).all(|roll| is_sampled(routers, roll)), "{routers}");
    }
}

#[test]
fn many_routers_ask_a_dark_engine_hardly_more_often_than_few() {
    let few = probes(8);
    for many in [88, 300, 1600] {
        let probes = probes(many);
        assert!(probes < 2 * few, "{many} routers: {probes} against {few}");
    }
    assert!((0..99).all(|roll| probe_delay(9, 1600, roll * 37) <= MAX_PROBE_INTERVAL_MS * 5 / 4));
}

#[test]
fn of_many_routers_some_are_always_drawn() {
    for routers in [88u64, 300, 1600] {
        let mut rng = Rng::new(routers);
        let drawn = || (0..routers).filter(|_| is_sampled(routers as u32, rng.next_u64())).count();
        let counts: Vec<usize> = iter::repeat_with(drawn).take(200).collect();
        assert!(counts.iter().all(|count| (1..=25).contains(count)), "{routers}: {counts:?}");
    }
}
