//! What routers may send on their own, all together.

use kernel::hashing;

use super::{Allowances, Bounds};
use crate::Quota;

const BOUNDS: Bounds = Bounds { window_ms: 5000, overage: 0.1, slack: 20.0 };

/// Returns the most requests in any window when `of` routers send all they may.
fn max_sent(quota: &Quota, routers: u32, of: u32) -> usize {
    let mut list: Vec<Allowances> =
        (0..of).map(|at| Allowances::new(BOUNDS, hashing::hash(format!("edge-{at}").as_bytes()))).collect();
    let mut times = Vec::new();
    for now in (0..20_000).step_by(500) {
        for own in &mut list {
            while own.try_acquire("tenant", quota, routers, now) {
                times.push(now);
            }
        }
    }
    let in_window = |from: &u64| times.iter().filter(|time| (*from..from + BOUNDS.window_ms).contains(time)).count();
    times.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn all_routers_together_stay_under_the_bound_in_every_window() {
    for rate_per_s in [0.5, 3.0, 12.0, 55.0, 900.0] {
        for burst in [1.0, rate_per_s, 5.0 * rate_per_s] {
            let quota = Quota { rate_per_s, burst };
            for routers in [1, 9, 88, 300, 1600] {
                let most = max_sent(&quota, routers, routers);
                assert!(most as f64 <= BOUNDS.max_requests(&quota), "{quota:?} {routers}: {most}");
            }
        }
    }
}

#[test]
fn a_zone_that_is_cut_off_sends_no_more_than_overage_and_slack_leave() {
    for rate_per_s in [3.0, 12.0, 55.0, 900.0] {
        let quota = Quota { rate_per_s, burst: rate_per_s };
        let remaining = BOUNDS.max_requests(&quota) - (rate_per_s * 5.0 + quota.burst);
        let most = max_sent(&quota, 88, 30);
        assert!(most as f64 <= remaining, "{quota:?}: {most} of {remaining}");
    }
}

#[test]
fn a_large_limit_gives_every_router_its_part() {
    let quota = Quota { rate_per_s: 900.0, burst: 900.0 };
    let mut own = Allowances::new(BOUNDS, 7);
    let acquired = (0..1000).filter(|_| own.try_acquire("tenant", &quota, 9, 100)).count();
    assert!((99..=101).contains(&acquired), "{acquired}");
}
