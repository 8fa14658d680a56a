use kernel::hashing;

use super::SlowStart;

/// The most that falls into any window of `span` ms.
fn max_in_window(times: &mut [u64], span: u64) -> usize {
    times.sort_unstable();
    let mut from = 0;
    let mut most = 0;
    for to in 0..times.len() {
        while times[to] >= times[from] + span {
            from += 1;
        }
        most = most.max(to + 1 - from);
    }
    most
}

/// All routers send as much as they are allowed; some restart midway and forget what they sent.
fn saturating_sends(bound: f64, router_count: u32, engine: u64, crash: bool) -> Vec<u64> {
    let mut times = Vec::new();
    for router in 0..router_count {
        let router_hash = hashing::hash(format!("edge-{router}").as_bytes());
        let mut slow_start = SlowStart::default();
        for now in (u64::from(router) * 7 % 50..3000).step_by(25) {
            if crash && router.is_multiple_of(29) && now / 25 == 60 {
                slow_start = SlowStart::default();
            }
            if slow_start.allows(bound, router_count, hashing::combine(router_hash, engine), now) {
                slow_start.record_send(now);
                times.push(now);
            }
        }
    }
    times
}

#[test]
fn sends_to_a_cold_engine_in_any_second_stay_under_its_bound_at_any_size() {
    for bound in [5.0, 18.0] {
        for router_count in [1, 3, 9, 18, 19, 40, 88, 400] {
            let (mut used, mut engines) = (0, 0);
            for engine in 0..16 {
                let mut times = saturating_sends(bound, router_count, hashing::hash(&[engine as u8]), false);
                let most = max_in_window(&mut times, 1000);
                // Under half of the slack of 5 that the published rule has beside the bound.
                assert!(most as f64 <= bound + 2.0, "{most} of {bound} at {router_count} routers, engine {engine}");
                used += most;
                engines += 1;
            }
            assert!(
                used as f64 / f64::from(engines) >= bound / 9.0,
                "{router_count} routers leave {bound} unused: {used}"
            );
        }
    }
}

#[test]
fn routers_that_restart_stay_within_the_slack() {
    for router_count in [9, 88, 400] {
        for engine in 0..16u8 {
            let mut times = saturating_sends(18.0, router_count, hashing::hash(&[engine]), true);
            assert!(max_in_window(&mut times, 1000) <= 23, "{router_count} routers");
        }
    }
}

#[test]
fn a_count_of_routers_that_is_off_by_a_quarter_does_not_break_the_bound() {
    // They count 66 routers though there are 88: each is drawn with a higher chance.
    for engine in 0..20u8 {
        let mut times = Vec::new();
        for router in 0..88 {
            let router_hash = hashing::hash(format!("edge-{router}").as_bytes());
            let mut slow_start = SlowStart::default();
            for now in (0..3000).step_by(10) {
                if slow_start.allows(18.0, 66, hashing::combine(router_hash, hashing::hash(&[engine])), now) {
                    slow_start.record_send(now);
                    times.push(now);
                }
            }
        }
        assert!(max_in_window(&mut times, 1000) <= 18);
    }
}

#[test]
fn a_router_without_confirmed_control_state_uses_a_quarter_of_a_bound_at_most() {
    let mut slow_start = SlowStart::default();
    let mut sent = 0;
    for now in (5000..6000).step_by(10) {
        if slow_start.allows_unconfirmed(18.0, 9, now) {
            slow_start.record_send(now);
            sent += 1;
        }
    }
    assert_eq!(sent, 4);
    assert!(slow_start.allows_unconfirmed(18.0, 9, 6900), "after a second again");
    assert!(SlowStart::default().allows_unconfirmed(2.0, 300, 0), "one send is always allowed");
}
