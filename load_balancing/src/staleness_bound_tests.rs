use protocol::message::StalenessLimit;

use super::{StalenessBound, StalenessBounds, LEASE_MS, RELAXATION_DELAY_MS};
use crate::testing::staleness_simulation::{simulate, staleness_limit, Fault};

fn bound(bounds: &StalenessBounds, route: &str, now: u64) -> StalenessBound {
    bounds.bound_for(0, "m", route, now)
}

#[test]
fn a_raise_takes_effect_at_once_and_only_for_its_service_model_and_routes() {
    let mut bounds = StalenessBounds::default();
    bounds.renew_lease(0);
    assert_eq!(bound(&bounds, "r", 10), StalenessBound::Unbounded);
    assert!(bounds.update(&staleness_limit(1, 10, 3, &["r"]), 0, 10));
    assert_eq!(bound(&bounds, "r", 10), StalenessBound::AtLeast(7));
    assert_eq!(bound(&bounds, "other", 10), StalenessBound::Unbounded);
    assert_eq!(bounds.bound_for(0, "n", "r", 10), StalenessBound::Unbounded, "another model");
    assert_eq!(bounds.bound_for(1, "m", "r", 10), StalenessBound::Unbounded, "another service");
    assert!(bounds.update(&staleness_limit(2, 12, 3, &["r", "t"]), 0, 20));
    assert_eq!(
        (bound(&bounds, "r", 20), bound(&bounds, "t", 20)),
        (StalenessBound::AtLeast(9), StalenessBound::AtLeast(9))
    );
    assert!(!bounds.update(&staleness_limit(1, 10, 3, &["r"]), 0, 30), "an older version changes nothing");
    assert_eq!(bound(&bounds, "r", 30), StalenessBound::AtLeast(9));
}

#[test]
fn a_relaxation_takes_effect_after_the_delay_and_an_added_route_at_once() {
    let mut bounds = StalenessBounds::default();
    bounds.update(&staleness_limit(1, 10, 2, &["r", "t"]), 0, 0);
    bounds.update(&staleness_limit(2, 10, 5, &["r", "u"]), 0, 100);
    bounds.renew_lease(100 + RELAXATION_DELAY_MS);
    let before_delay_ends = 100 + RELAXATION_DELAY_MS - 1;
    assert_eq!(
        (bound(&bounds, "r", before_delay_ends), bound(&bounds, "t", before_delay_ends)),
        (StalenessBound::AtLeast(8), StalenessBound::AtLeast(8))
    );
    assert_eq!(bound(&bounds, "u", before_delay_ends), StalenessBound::AtLeast(8), "an added route is bound at once");
    assert_eq!(
        (bound(&bounds, "r", before_delay_ends + 1), bound(&bounds, "t", before_delay_ends + 1)),
        (StalenessBound::AtLeast(5), StalenessBound::Unbounded)
    );
    let removed = StalenessLimit { removed: true, ..staleness_limit(3, 10, 5, &["r", "u"]) };
    bounds.update(&removed, 0, 4000);
    bounds.renew_lease(8000);
    assert_eq!(bound(&bounds, "r", 4000 + RELAXATION_DELAY_MS - 1), StalenessBound::AtLeast(5));
    assert_eq!(bound(&bounds, "r", 4000 + RELAXATION_DELAY_MS), StalenessBound::Unbounded);
}

#[test]
fn an_expired_lease_refuses_only_requests_under_a_limit() {
    let mut bounds = StalenessBounds::default();
    bounds.update(&staleness_limit(1, 10, 2, &["r"]), 0, 0);
    assert_eq!(bound(&bounds, "r", 0), StalenessBound::LeaseExpired, "never renewed");
    bounds.renew_lease(100);
    assert_eq!(bound(&bounds, "r", 99 + LEASE_MS), StalenessBound::AtLeast(8));
    assert_eq!(bound(&bounds, "r", 100 + LEASE_MS), StalenessBound::LeaseExpired);
    assert_eq!(bound(&bounds, "t", 100 + LEASE_MS), StalenessBound::Unbounded);
    bounds.renew_lease(50);
    assert_eq!(bound(&bounds, "r", 100 + LEASE_MS), StalenessBound::LeaseExpired, "a late answer to an old call");
}

#[test]
fn no_request_runs_below_the_minimum_version_once_a_raise_is_acknowledged() {
    let mut acknowledgements = 0;
    for seed in 1..=40 {
        let outcome = simulate(seed, Fault::None);
        assert_eq!(outcome.violations, 0, "seed {seed}");
        acknowledgements += outcome.acknowledgements;
    }
    assert!(acknowledgements > 200, "too few raises were acknowledged: {acknowledgements}");
}

#[test]
fn simulated_violations_appear_when_a_raise_is_acknowledged_at_once() {
    assert!(
        (1..=10).any(|seed| simulate(seed, Fault::AcknowledgedAtOnce).violations > 0),
        "the simulation must detect this fault"
    );
}

#[test]
fn simulated_violations_appear_when_a_restarted_controller_ignores_earlier_leases() {
    assert!(
        (1..=60).any(|seed| simulate(seed, Fault::ForgottenLeases).violations > 0),
        "the simulation must detect this fault"
    );
}
