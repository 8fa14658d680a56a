use std::iter;

use kernel::Rng;

use super::{is_drawn, pause, told_pause, PAUSE_MOST_MS, PAUSE_MS};
use crate::upstream::probe::WAIT_MS;

/// Probes that all routers send to one engine that stays dark for ten seconds, once one of them has doubted it.
fn probes(routers: u32) -> u64 {
    let mut dice = Rng::new(u64::from(routers));
    let mut count = 0;
    for router in 0..routers {
        let (mut now, mut asked) = (0, 0);
        if router > 0 && !is_drawn(routers, dice.next_u64()) {
            now += WAIT_MS + told_pause(routers, dice.next_u64());
        }
        while now < 10_000 {
            (count, asked) = (count + 1, asked + 1);
            now += WAIT_MS + pause(asked, routers, dice.next_u64());
        }
    }
    count
}

#[test]
fn a_false_alarm_is_short_and_few_routers_ask_as_before() {
    assert_eq!(pause(1, 1600, 7), PAUSE_MS);
    for routers in 1..=8 {
        assert!((225..=375).contains(&pause(5, routers, u64::from(routers) * 31)), "{routers}");
        assert!((0..99).all(|roll| is_drawn(routers, roll)), "{routers}");
    }
}

#[test]
fn many_routers_ask_a_dark_engine_hardly_more_often_than_few() {
    let few = probes(8);
    for many in [88, 300, 1600] {
        let probes = probes(many);
        assert!(probes < 2 * few, "{many} routers: {probes} against {few}");
    }
    assert!((0..99).all(|roll| pause(9, 1600, roll * 37) <= PAUSE_MOST_MS * 5 / 4));
}

#[test]
fn of_many_routers_some_are_always_drawn() {
    for routers in [88u64, 300, 1600] {
        let mut dice = Rng::new(routers);
        let drawn = || (0..routers).filter(|_| is_drawn(routers as u32, dice.next_u64())).count();
        let counts: Vec<usize> = iter::repeat_with(drawn).take(200).collect();
        assert!(counts.iter().all(|count| (1..=25).contains(count)), "{routers}: {counts:?}");
    }
}
