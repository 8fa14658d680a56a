//! The sum of requests over all routers in every window under faults, and the share of denied requests without faults.

use std::ops::Range;

use super::{BoundViolation, Fleet, Size, Tenant, Variant, BOUNDS};
use crate::Quota;

const SMALL: Size = Size { controllers: 3, zones: 3, routers: 9 };
const GROWN: Size = Size { controllers: 6, zones: 3, routers: 88 };
const LARGE: Size = Size { controllers: 21, zones: 5, routers: 300 };
const TARGET: Size = Size { controllers: 24, zones: 10, routers: 1600 };

/// Returns a tenant that sends `multiple` times its limit, with a burst of `burst_s` seconds of its rate.
fn tenant(index: usize, rate_per_s: f64, burst_s: f64, multiple: f64, zones: usize) -> Tenant {
    let quota = Quota { rate_per_s, burst: rate_per_s * burst_s };
    Tenant { name: format!("tenant-{index}"), quota, demand: rate_per_s * multiple, zone: index % zones }
}

fn tenants(burst_s: f64, multiple: f64, zones: usize) -> Vec<Tenant> {
    let rates = [2.0, 5.0, 13.0, 55.0, 200.0].iter().enumerate();
    rates.map(|(index, rate)| tenant(index, *rate, burst_s, multiple, zones)).collect()
}

/// Runs tenants that alternate between silence and overload and move between zones, under faults.
fn run_worst_case(size: &Size, variant: Variant, seed: u64) -> Fleet {
    let burst_s = if seed.is_multiple_of(2) { 1.0 } else { 5.0 };
    let mut fleet = Fleet::new(size, tenants(burst_s, 0.0, size.zones), variant, seed);
    fleet.run(12_000, false);
    for round in 0..6 {
        let is_silent = round % 3 == 2;
        for tenant in &mut fleet.tenants {
            tenant.zone = (tenant.zone + 1) % size.zones;
            tenant.demand = if is_silent { 0.0 } else { tenant.quota.rate_per_s * OVERLOAD_FACTOR };
        }
        fleet.run(6000, round < 5);
    }
    fleet
}

/// Demand of an overloading tenant, as a multiple of its limit.
const OVERLOAD_FACTOR: f64 = 7.5;

fn assert_bound_holds(size: &Size, seeds: Range<u64>) {
    for seed in seeds {
        let fleet = run_worst_case(size, Variant::Correct, seed);
        let violation = fleet.first_violation();
        assert!(violation.is_none(), "seed {seed}: {violation:?}");
        assert!(fleet.counts.iter().all(|count| count.sent > 0), "seed {seed}: {:?}", fleet.counts);
    }
}

fn assert_bound_breaks(size: &Size, variant: Variant) {
    let broken = (0..20).any(|seed| run_worst_case(size, variant, seed).first_violation().is_some());
    assert!(broken, "the bound holds in spite of the fault: {variant:?}");
}

#[test]
fn no_window_exceeds_the_bound_with_9_routers_under_faults() {
    assert_bound_holds(&SMALL, 0..12);
}

#[test]
fn no_window_exceeds_the_bound_with_88_routers_under_faults() {
    assert_bound_holds(&GROWN, 0..8);
}

#[test]
fn no_window_exceeds_the_bound_with_300_routers_under_faults() {
    assert_bound_holds(&LARGE, 0..3);
}

#[test]
fn no_window_exceeds_the_bound_with_1600_routers_under_faults() {
    assert_bound_holds(&TARGET, 0..2);
}

#[test]
fn immediate_takeover_of_shards_breaks_the_bound() {
    assert_bound_breaks(&GROWN, Variant::ImmediateTakeover);
}

#[test]
fn issuing_without_a_lease_breaks_the_bound() {
    assert_bound_breaks(&GROWN, Variant::NoLease);
}

/// Returns the violation, if any, when an owner fails after a burst of ten seconds' requests was used up and its shard
/// is taken over in the same window.
fn violation_of_takeover_after_burst(variant: Variant) -> Option<BoundViolation> {
    let mut fleet = Fleet::new(&GROWN, vec![tenant(0, 200.0, 10.0, 0.0, GROWN.zones)], variant, 1);
    fleet.run(30_000, false);
    fleet.tenants[0].demand = 200.0 * 4.0 * OVERLOAD_FACTOR;
    fleet.run(600, false);
    fleet.kill_owner(0, 8000);
    fleet.run(6000, false);
    fleet.first_violation()
}

#[test]
fn a_shard_that_starts_full_after_a_takeover_issues_its_burst_twice() {
    assert_eq!(violation_of_takeover_after_burst(Variant::Correct), None);
    assert!(violation_of_takeover_after_burst(Variant::StartsFull).is_some(), "the bound holds in spite of the fault");
}

/// Returns the share of requests that were not sent.
fn denied_share(fleet: &Fleet) -> f64 {
    let (received, sent) = fleet.counts.iter().fold((0, 0), |sum, count| (sum.0 + count.received, sum.1 + count.sent));
    1.0 - sent as f64 / received as f64
}

#[test]
fn a_tenant_within_its_limit_is_not_denied_without_faults() {
    for (size, seed) in [(&SMALL, 1), (&GROWN, 2), (&LARGE, 3)] {
        let mut fleet = Fleet::new(size, tenants(1.0, 0.6, size.zones), Variant::Correct, seed);
        fleet.run(6000, false);
        fleet.counts.iter_mut().for_each(|count| *count = Default::default());
        fleet.run(30_000, false);
        assert!(denied_share(&fleet) < 0.01, "{} of {:?}", denied_share(&fleet), fleet.counts);
    }
}

#[test]
fn a_tenant_over_its_limit_gets_about_its_limit_without_faults() {
    let mut fleet = Fleet::new(&GROWN, tenants(1.0, OVERLOAD_FACTOR, GROWN.zones), Variant::Correct, 4);
    fleet.run(6000, false);
    fleet.counts.iter_mut().for_each(|count| *count = Default::default());
    fleet.run(30_000, false);
    for (tenant, count) in fleet.tenants.iter().zip(&fleet.counts) {
        let limit = tenant.quota.rate_per_s * 30.0;
        let share = count.sent as f64 / limit;
        assert!((0.9..1.1).contains(&share), "{}: {} of {limit}", tenant.name, count.sent);
    }
}

#[test]
fn a_lowered_limit_is_enforced_after_one_window() {
    let mut fleet = Fleet::new(&GROWN, tenants(1.0, OVERLOAD_FACTOR, GROWN.zones), Variant::Correct, 5);
    fleet.run(20_000, false);
    for tenant in &mut fleet.tenants {
        tenant.quota = Quota { rate_per_s: tenant.quota.rate_per_s / 4.0, burst: tenant.quota.burst / 4.0 };
    }
    fleet.run(BOUNDS.window_ms, false);
    fleet.send_times.iter_mut().for_each(Vec::clear);
    fleet.run(20_000, true);
    assert_eq!(fleet.first_violation(), None);
}
