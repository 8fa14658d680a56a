//! How many calls a router makes, whatever controllers do.

use std::mem;

use kernel::Rng;

use crate::subscription::scheduler::SubscriptionScheduler;
use crate::testing::subscription_world::{budget, names, Behaviour, World};

const CONVERGE_MS: [u64; 5] = [1500, 2000, 2500, 3000, 4000];
const CONTROLLERS: usize = 18;
/// By then the router is settled at its first home.
const SETTLED: u64 = 5000;

/// What happens next at a controller that is called.
fn any_behaviour(rng: &mut Rng) -> Behaviour {
    match rng.below(8) {
        0 => Behaviour::Frozen,
        1 => Behaviour::Unreachable,
        2 => Behaviour::Refusing,
        3 => Behaviour::UnconfirmedSince(0),
        4 => Behaviour::LosingFrames { answer_ms: rng.below(30) },
        5 => Behaviour::Older { answer_ms: rng.below(30) },
        _ => Behaviour::Healthy { answer_ms: rng.below(700), age_ms: rng.below(2500) },
    }
}

#[test]
fn a_proof_never_goes_back_and_calls_are_bounded_whatever_controllers_do() {
    for converge_ms in CONVERGE_MS {
        for seed in 1..8 {
            let mut rng = Rng::new(seed);
            let mut world = World::new(converge_ms, CONTROLLERS);
            let mut proved = None;
            for step in 0..600 {
                world.run(1000 + step * 50, |_, _| any_behaviour(&mut rng));
                assert!(world.policy.current_as_of() >= proved);
                proved = world.policy.current_as_of();
            }
            let budget = budget(converge_ms);
            // Renewals while unready, recalls, two asked a gap, and the nearer one.
            let renewals = 4 * 1000 / budget.renewal_interval_ms() + 2;
            let others = 4 * (1000 / budget.hedge_gap_ms() + 1);
            let most = world.most_calls_within(1000, 0) as u64;
            assert!(most <= renewals + others, "{most} of {renewals} + {others}");
        }
    }
}

/// What a router sends in any second while there is no proof to be had, once it has been so for a while.
fn most_calls_without_proof(converge_ms: u64) -> u64 {
    let budget = budget(converge_ms);
    let renewals = 1000 / budget.renewal_interval_ms() + 1;
    let others = 1000 / budget.max_hedge_gap_ms() + 1;
    renewals + others
}

#[test]
fn while_the_core_has_no_quorum_routers_do_not_flood_the_controllers() {
    for converge_ms in CONVERGE_MS {
        let mut world = World::new(converge_ms, CONTROLLERS);
        world.run(SETTLED, |_, _| Behaviour::Healthy { answer_ms: 5, age_ms: 100 });
        world.run(60_000, |_, _| Behaviour::UnconfirmedSince(SETTLED));
        let most = world.most_calls_within(1000, SETTLED + 4000) as u64;
        assert!(most <= most_calls_without_proof(converge_ms), "{most}");
        let calm = 1000 / budget(converge_ms).renewal_interval_ms() + 1;
        assert!(most <= 2 * calm, "{most}: no more than twice what is sent in calm");
    }
}

#[test]
fn requests_that_wait_for_a_proof_cause_no_flood_of_calls() {
    for converge_ms in CONVERGE_MS {
        let count = |wanted: bool| {
            let mut world = World::new(converge_ms, CONTROLLERS);
            world.run(SETTLED, |_, _| Behaviour::Healthy { answer_ms: 5, age_ms: 100 });
            for now in SETTLED..SETTLED + 20_000 {
                if wanted {
                    world.policy.request_proof();
                }
                world.run(now, |_, _| Behaviour::UnconfirmedSince(SETTLED));
            }
            world.begun.iter().filter(|begun| begun.at >= SETTLED + 4000).count() as u64
        };
        let waits = 16_000 / budget(converge_ms).refusal_wait_ms();
        let (quiet, flooded) = (count(false), count(true));
        assert!(flooded <= quiet + waits, "{flooded} beside {quiet}: one for all that wait at a time");
    }
}

#[test]
fn a_frame_that_was_lost_is_asked_for_at_once_and_is_no_proof() {
    let mut world = World::new(2000, CONTROLLERS);
    world.run(SETTLED, |_, _| Behaviour::Healthy { answer_ms: 5, age_ms: 100 });
    let mut lost = false;
    let (before, calls) = (world.policy.current_as_of(), world.begun.len());
    let lost_at = SETTLED + 400;
    world.run(lost_at, |_, _| {
        if mem::replace(&mut lost, true) {
            return Behaviour::Healthy { answer_ms: 5, age_ms: 100 };
        }
        Behaviour::LosingFrames { answer_ms: 5 }
    });
    let first = &world.begun[calls];
    let again = &world.begun[calls + 1];
    assert_eq!((again.at, &again.controller), (first.at + 5, &first.controller), "without waiting for the beat");
    assert_eq!(world.policy.current_as_of(), Some(again.at as i64 - 100));
    assert!(before < world.policy.current_as_of());
    // One whose frames are lost for good is called no faster than others would be asked.
    world.run(20_000, |_, _| Behaviour::LosingFrames { answer_ms: 5 });
    let most = world.most_calls_within(1000, lost_at) as u64;
    assert!(most <= 2 * 1000 / budget(2000).hedge_gap_ms() + 2, "{most}");
}

#[test]
fn controllers_of_an_older_version_are_followed_without_asking_others_on_and_on() {
    for converge_ms in CONVERGE_MS {
        let mut world = World::new(converge_ms, CONTROLLERS);
        world.run(SETTLED, |_, _| Behaviour::Older { answer_ms: 5 });
        world.policy.set_ready();
        let calls = world.begun.len();
        world.run(SETTLED + 10_000, |_, _| Behaviour::Older { answer_ms: 5 });
        let renewals = 10_000 / budget(converge_ms).renewal_interval_ms() + 2;
        assert!((world.begun.len() - calls) as u64 <= renewals);
        assert!(world.oldest_proof <= 1100 + budget(converge_ms).renewal_interval_ms() as i64 + 10);
    }
}

#[test]
fn the_next_controller_and_a_member_of_the_core_are_asked_at_once_beside_a_silent_home() {
    for (node, converge_ms) in (0..40).zip(CONVERGE_MS.into_iter().cycle()) {
        let budget = budget(converge_ms);
        let controllers = names("k", CONTROLLERS);
        let mut world =
            World::with(SubscriptionScheduler::new(budget, &format!("edge-{node}"), "k0", &controllers), controllers);
        world.policy.set_ready();
        world.run(SETTLED, |_, _| Behaviour::Healthy { answer_ms: 5, age_ms: 50 });
        let calls = world.begun.len();
        world.run(SETTLED + 2000, |_, _| Behaviour::Frozen);
        let asked: Vec<_> = world.begun[calls..].iter().collect();
        assert_eq!((asked[0].controller.as_str(), asked[1].controller.as_str()), ("k0", "k1"));
        assert!(world.members.contains(&asked[2].controller), "{asked:?}");
        assert_eq!(asked[1].at, asked[0].at + budget.timeout_ms() + 1);
        assert_eq!(asked[2].at, asked[1].at);
        assert_eq!(asked[3].at, asked[2].at + budget.hedge_gap_ms());
    }
}

#[test]
fn once_the_whole_configuration_has_come_nobody_else_need_go_on_sending_it() {
    let controllers = names("k", 3);
    let mut world = World::with(SubscriptionScheduler::new(budget(2000), "edge-1", "k0", &controllers), controllers);
    world.held = 0;
    let begin = world.now;
    let slow = |controller: &str, _| match controller {
        "k0" => Behaviour::Healthy { answer_ms: 1700, age_ms: 100 },
        _ => Behaviour::Healthy { answer_ms: 5000, age_ms: 100 },
    };
    world.run(begin + 1690, slow);
    let second = world.begun[1].controller.clone();
    assert!(world.policy.has_open_call("k0") && world.policy.has_open_call(&second));
    world.run(begin + 1710, slow);
    assert_eq!(world.policy.home(), Some("k0"));
    assert!(!world.policy.has_open_call(&second));
}
