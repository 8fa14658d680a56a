//! The number of calls that a router makes, however controllers behave.

use std::mem;

use kernel::Rng;

use crate::subscription::scheduler::SubscriptionScheduler;
use crate::testing::subscription_world::{budget, numbered_names, Behaviour, World};

const CONVERGE_MS: [u64; 5] = [1500, 2000, 2500, 3000, 4000];
const CONTROLLERS: usize = 18;
/// The time at which the router has a stable first home, in milliseconds.
const WARMED_UP_AT: u64 = 5000;

/// Returns a random behaviour.
fn random_behaviour(rng: &mut Rng) -> Behaviour {
    match rng.below(8) {
        0 => Behaviour::Frozen,
        1 => Behaviour::Unreachable,
        2 => Behaviour::Refusing,
        3 => Behaviour::UnconfirmedSince(0),
        4 => Behaviour::LosingFrames { response_ms: rng.below(30) },
        5 => Behaviour::Older { response_ms: rng.below(30) },
        _ => Behaviour::Healthy { response_ms: rng.below(700), age_ms: rng.below(2500) },
    }
}

#[test]
fn with_random_faults_the_proof_never_goes_back_and_the_call_rate_is_bounded() {
    for converge_ms in CONVERGE_MS {
        for seed in 1..8 {
            let mut rng = Rng::new(seed);
            let mut world = World::new(converge_ms, CONTROLLERS);
            let mut proved = None;
            for step in 0..600 {
                world.run(1000 + step * 50, |_, _| random_behaviour(&mut rng));
                assert!(world.policy.current_as_of() >= proved);
                proved = world.policy.current_as_of();
            }
            let budget = budget(converge_ms);
            // Renewals while unready, early renewals, two hedged calls per gap, and calls to a nearer controller.
            let renewals = 4 * 1000 / budget.renewal_interval_ms() + 2;
            let other_calls = 4 * (1000 / budget.hedge_gap_ms() + 1);
            let most = world.most_calls_within(1000, 0) as u64;
            assert!(most <= renewals + other_calls, "{most} of {renewals} + {other_calls}");
        }
    }
}

/// Returns the most calls that a router may make in a second once no controller has given a proof for a while.
fn max_calls_without_proof(converge_ms: u64) -> u64 {
    let budget = budget(converge_ms);
    let renewals = 1000 / budget.renewal_interval_ms() + 1;
    let hedged_calls = 1000 / budget.max_hedge_gap_ms() + 1;
    renewals + hedged_calls
}

#[test]
fn without_a_quorum_of_the_core_the_call_rate_at_most_doubles() {
    for converge_ms in CONVERGE_MS {
        let mut world = World::new(converge_ms, CONTROLLERS);
        world.run(WARMED_UP_AT, |_, _| Behaviour::Healthy { response_ms: 5, age_ms: 100 });
        world.run(60_000, |_, _| Behaviour::UnconfirmedSince(WARMED_UP_AT));
        let most = world.most_calls_within(1000, WARMED_UP_AT + 4000) as u64;
        assert!(most <= max_calls_without_proof(converge_ms), "{most}");
        let usual = 1000 / budget(converge_ms).renewal_interval_ms() + 1;
        assert!(most <= 2 * usual, "{most}: more than twice the usual rate");
    }
}

#[test]
fn requests_that_wait_for_a_proof_add_at_most_one_call_per_wait() {
    for converge_ms in CONVERGE_MS {
        let count_calls = |proof_requested: bool| {
            let mut world = World::new(converge_ms, CONTROLLERS);
            world.run(WARMED_UP_AT, |_, _| Behaviour::Healthy { response_ms: 5, age_ms: 100 });
            for now in WARMED_UP_AT..WARMED_UP_AT + 20_000 {
                if proof_requested {
                    world.policy.request_proof();
                }
                world.run(now, |_, _| Behaviour::UnconfirmedSince(WARMED_UP_AT));
            }
            world.started_calls.iter().filter(|call| call.at >= WARMED_UP_AT + 4000).count() as u64
        };
        let waits = 16_000 / budget(converge_ms).refusal_wait_ms();
        let (without_requests, with_requests) = (count_calls(false), count_calls(true));
        assert!(with_requests <= without_requests + waits, "{with_requests} instead of {without_requests} + {waits}");
    }
}

#[test]
fn after_a_lost_frame_the_home_is_called_again_at_once_and_nothing_is_proved() {
    let mut world = World::new(2000, CONTROLLERS);
    world.run(WARMED_UP_AT, |_, _| Behaviour::Healthy { response_ms: 5, age_ms: 100 });
    let mut frame_lost = false;
    let (as_of_before, calls_before) = (world.policy.current_as_of(), world.started_calls.len());
    let lost_at = WARMED_UP_AT + 400;
    world.run(lost_at, |_, _| {
        if mem::replace(&mut frame_lost, true) {
            return Behaviour::Healthy { response_ms: 5, age_ms: 100 };
        }
        Behaviour::LosingFrames { response_ms: 5 }
    });
    let first = &world.started_calls[calls_before];
    let repeated = &world.started_calls[calls_before + 1];
    assert_eq!(
        (repeated.at, &repeated.controller),
        (first.at + 5, &first.controller),
        "the renewal interval was waited for"
    );
    assert_eq!(world.policy.current_as_of(), Some(repeated.at as i64 - 100));
    assert!(as_of_before < world.policy.current_as_of());
    // A controller whose frames are always lost is called no more often than hedged calls would be made.
    world.run(20_000, |_, _| Behaviour::LosingFrames { response_ms: 5 });
    let most = world.most_calls_within(1000, lost_at) as u64;
    assert!(most <= 2 * 1000 / budget(2000).hedge_gap_ms() + 2, "{most}");
}

#[test]
fn controllers_of_an_older_version_cause_no_permanent_hedging() {
    for converge_ms in CONVERGE_MS {
        let mut world = World::new(converge_ms, CONTROLLERS);
        world.run(WARMED_UP_AT, |_, _| Behaviour::Older { response_ms: 5 });
        world.policy.set_ready();
        let calls_before = world.started_calls.len();
        world.run(WARMED_UP_AT + 10_000, |_, _| Behaviour::Older { response_ms: 5 });
        let renewals = 10_000 / budget(converge_ms).renewal_interval_ms() + 2;
        assert!((world.started_calls.len() - calls_before) as u64 <= renewals);
        assert!(world.oldest_proof <= 1100 + budget(converge_ms).renewal_interval_ms() as i64 + 10);
    }
}

#[test]
fn an_unresponsive_home_causes_calls_to_the_next_controller_and_a_core_member_at_once() {
    for (router, converge_ms) in (0..40).zip(CONVERGE_MS.into_iter().cycle()) {
        let budget = budget(converge_ms);
        let controllers = numbered_names("k", CONTROLLERS);
        let mut world =
            World::with(SubscriptionScheduler::new(budget, &format!("edge-{router}"), "k0", &controllers), controllers);
        world.policy.set_ready();
        world.run(WARMED_UP_AT, |_, _| Behaviour::Healthy { response_ms: 5, age_ms: 50 });
        let calls_before = world.started_calls.len();
        world.run(WARMED_UP_AT + 2000, |_, _| Behaviour::Frozen);
        let calls: Vec<_> = world.started_calls[calls_before..].iter().collect();
        assert_eq!((calls[0].controller.as_str(), calls[1].controller.as_str()), ("k0", "k1"));
        assert!(world.members.contains(&calls[2].controller), "{calls:?}");
        assert_eq!(calls[1].at, calls[0].at + budget.timeout_ms() + 1);
        assert_eq!(calls[2].at, calls[1].at);
        assert_eq!(calls[3].at, calls[2].at + budget.hedge_gap_ms());
    }
}

#[test]
fn other_bulk_calls_are_abandoned_once_the_whole_configuration_has_arrived() {
    let controllers = numbered_names("k", 3);
    let mut world = World::with(SubscriptionScheduler::new(budget(2000), "edge-1", "k0", &controllers), controllers);
    world.applied_revision = 0;
    let start = world.now;
    let slow = |controller: &str, _| match controller {
        "k0" => Behaviour::Healthy { response_ms: 1700, age_ms: 100 },
        _ => Behaviour::Healthy { response_ms: 5000, age_ms: 100 },
    };
    world.run(start + 1690, slow);
    let second_controller = world.started_calls[1].controller.clone();
    assert!(world.policy.has_open_call("k0") && world.policy.has_open_call(&second_controller));
    world.run(start + 1710, slow);
    assert_eq!(world.policy.home(), Some("k0"));
    assert!(!world.policy.has_open_call(&second_controller));
}
