use kernel::hashing;

use super::SlowStart;

/// Returns the largest number of timestamps within any window of `span` milliseconds.
fn max_in_window(times: &mut [u64], span: u64) -> usize {
    times.sort_unstable();
    let mut from = 0;
    let mut max_sends = 0;
    for to in 0..times.len() {
        while times[to] >= times[from] + span {
            from += 1;
        }
        max_sends = max_sends.max(to + 1 - from);
    }
    max_sends
}

/// Returns the times of all sends when all routers send as much as they may. If `crash` is set, some restart midway and
/// lose the record of their sends.
fn saturating_sends(engine_limit: f64, router_count: u32, engine: u64, crash: bool) -> Vec<u64> {
    let mut times = Vec::new();
    for router in 0..router_count {
        let router_hash = hashing::hash(format!("edge-{router}").as_bytes());
        let mut slow_start = SlowStart::default();
        for now in (u64::from(router) * 7 % 50..3000).step_by(25) {
            if crash && router.is_multiple_of(29) && now / 25 == 60 {
                slow_start = SlowStart::default();
            }
            if slow_start.allows(engine_limit, router_count, hashing::combine(router_hash, engine), now) {
                slow_start.record_send(now);
                times.push(now);
            }
        }
    }
    times
}

#[test]
fn sends_to_a_cold_engine_stay_within_its_limit_for_any_number_of_routers() {
    for engine_limit in [5.0, 18.0] {
        for router_count in [1, 3, 9, 18, 19, 40, 88, 400] {
            let (mut total_sends, mut engines) = (0, 0);
            for engine in 0..16 {
                let mut times = saturating_sends(engine_limit, router_count, hashing::hash(&[engine as u8]), false);
                let max_sends = max_in_window(&mut times, 1000);
                // Less than half of the slack of 5 that the published rule allows on top of the limit.
                assert!(
                    max_sends as f64 <= engine_limit + 2.0,
                    "{max_sends} of {engine_limit} at {router_count} routers, engine {engine}"
                );
                total_sends += max_sends;
                engines += 1;
            }
            assert!(
                total_sends as f64 / f64::from(engines) >= engine_limit / 9.0,
                "{router_count} routers use too little of {engine_limit}: {total_sends}"
            );
        }
    }
}

#[test]
fn sends_of_routers_that_restart_stay_within_the_slack() {
    for router_count in [9, 88, 400] {
        for engine in 0..16u8 {
            let mut times = saturating_sends(18.0, router_count, hashing::hash(&[engine]), true);
            assert!(max_in_window(&mut times, 1000) <= 23, "{router_count} routers");
        }
    }
}

#[test]
fn sends_stay_within_the_limit_when_the_router_count_is_a_quarter_too_low() {
    // The routers count 66 instead of 88, so each is picked with a higher probability.
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
fn a_router_without_confirmed_control_state_uses_at_most_a_quarter_of_the_limit() {
    let mut slow_start = SlowStart::default();
    let mut sent = 0;
    for now in (5000..6000).step_by(10) {
        if slow_start.allows_unconfirmed(18.0, 9, now) {
            slow_start.record_send(now);
            sent += 1;
        }
    }
    assert_eq!(sent, 4);
    assert!(slow_start.allows_unconfirmed(18.0, 9, 6900), "sends are allowed again after a second");
    assert!(SlowStart::default().allows_unconfirmed(2.0, 300, 0), "one send is always allowed");
}
