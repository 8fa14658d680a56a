//! The sum of requests that all routers send within their allowances.

use kernel::hashing;

use super::{Allowances, Bounds};
use crate::Quota;

const BOUNDS: Bounds = Bounds { window_ms: 5000, overage: 0.1, slack: 20.0 };

/// Returns the maximum number of requests in any window if `active` of `routers` routers use up their allowances.
fn max_sent(quota: &Quota, routers: u32, active: u32) -> usize {
    let mut routers_allowances: Vec<Allowances> =
        (0..active).map(|index| Allowances::new(BOUNDS, hashing::hash(format!("edge-{index}").as_bytes()))).collect();
    let mut times = Vec::new();
    for now in (0..20_000).step_by(500) {
        for allowances in &mut routers_allowances {
            while allowances.try_acquire("tenant", quota, routers, now) {
                times.push(now);
            }
        }
    }
    let in_window = |from: &u64| times.iter().filter(|time| (*from..from + BOUNDS.window_ms).contains(time)).count();
    times.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn allowances_of_all_routers_stay_within_the_bound_in_every_window() {
    for rate_per_s in [0.5, 3.0, 12.0, 55.0, 900.0] {
        for burst in [1.0, rate_per_s, 5.0 * rate_per_s] {
            let quota = Quota { rate_per_s, burst };
            for routers in [1, 9, 88, 300, 1600] {
                let sent = max_sent(&quota, routers, routers);
                assert!(sent as f64 <= BOUNDS.max_requests(&quota), "{quota:?} {routers}: {sent}");
            }
        }
    }
}

#[test]
fn allowances_of_a_partitioned_zone_stay_within_the_headroom() {
    for rate_per_s in [3.0, 12.0, 55.0, 900.0] {
        let quota = Quota { rate_per_s, burst: rate_per_s };
        let headroom = BOUNDS.max_requests(&quota) - (rate_per_s * 5.0 + quota.burst);
        let sent = max_sent(&quota, 88, 30);
        assert!(sent as f64 <= headroom, "{quota:?}: {sent} of {headroom}");
    }
}

#[test]
fn a_large_limit_gives_a_router_its_share_of_the_allowance() {
    let quota = Quota { rate_per_s: 900.0, burst: 900.0 };
    let mut allowances = Allowances::new(BOUNDS, 7);
    let acquired = (0..1000).filter(|_| allowances.try_acquire("tenant", &quota, 9, 100)).count();
    assert!((99..=101).contains(&acquired), "{acquired}");
}
