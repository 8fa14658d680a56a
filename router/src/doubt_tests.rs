/// Probes that all routers send to one dark engine in ten seconds.
fn probes(seats: u32) -> u64 {
    let mut dice = kernel::clock::Dice::new(u64::from(seats));
    let mut count = 0;
    for _ in 0..seats {
        let (mut now, mut asked) = (0, 0);
        while now < 10_000 {
            (count, asked) = (count + 1, asked + 1);
            now += super::WAIT_MS + super::pause(asked, seats, dice.roll());
        }
    }
    count
}

#[test]
fn a_false_alarm_is_short_and_few_routers_ask_as_before() {
    assert_eq!(super::pause(1, 1600, 7), super::PAUSE_MS);
    for seats in 1..=8 {
        assert!((225..=375).contains(&super::pause(5, seats, u64::from(seats) * 31)), "{seats}");
    }
}

#[test]
fn many_routers_do_not_all_ask_a_dark_engine_all_the_time() {
    let (few, many) = (probes(8), probes(88));
    assert!(many < 4 * few, "{many} against {few}: eleven times the routers");
    assert!((0..99).all(|roll| super::pause(9, 1600, roll * 37) <= super::PAUSE_MOST_MS * 5 / 4));
}
