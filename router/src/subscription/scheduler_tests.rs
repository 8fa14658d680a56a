//! How long what is held may go without a proof, whatever happens to the controllers that are asked.

use kernel::settings::Bounds;
use kernel::{hashing, Rng};

use crate::subscription::response::{Proof, RenewalResponse};
use crate::testing::single_home::SingleHome;
use crate::testing::subscription_world::{budget, names, Behaviour, Policy, World};

const CONVERGE_MS: [u64; 5] = [1500, 2000, 2500, 3000, 4000];
const CONTROLLERS: usize = 18;
/// By then the router is settled at its first home.
const SETTLED: u64 = 5000;
const END: u64 = 12_000;

/// What befalls the controllers that the router turns to.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// The first so many that are called after it began are sick, besides the home.
    candidates: usize,
    behaviour: Behaviour,
}

/// A healthy controller's answer: its confirmation is as old as it may be where nothing goes wrong.
fn healthy(rng: &mut Rng, converge_ms: u64) -> Behaviour {
    let budget = budget(converge_ms);
    Behaviour::Healthy { answer_ms: 2 + rng.below(20), age_ms: 5 + rng.below(budget.confirmation_interval_ms()) }
}

/// The oldest that the proof is while, from a time on, the home and others that are turned to are sick.
fn oldest_proof<P: Policy>(mut world: World<P>, trouble: Trouble, converge_ms: u64, seed: u64) -> i64 {
    let mut rng = Rng::new(seed);
    let begin = SETTLED + rng.below(1000);
    world.run(begin, |_, _| healthy(&mut rng, converge_ms));
    assert!(world.proof_age().is_some(), "settled by then");
    world.oldest_proof = 0;
    let mut faulty: Vec<String> = Vec::new();
    world.run(END, |controller, _| {
        if faulty.len() <= trouble.candidates && !faulty.iter().any(|known| known == controller) {
            faulty.push(controller.to_string());
        }
        match faulty.iter().any(|known| known == controller) {
            true => trouble.behaviour,
            false => healthy(&mut rng, converge_ms),
        }
    });
    world.oldest_proof
}

fn troubles() -> Vec<Trouble> {
    let behaviours =
        [Behaviour::Frozen, Behaviour::Unreachable, Behaviour::Refusing, Behaviour::UnconfirmedSince(SETTLED)];
    let each = |candidates| behaviours.map(|behaviour| Trouble { candidates, behaviour });
    (0..=3).flat_map(each).collect()
}

#[test]
fn a_router_that_reaches_the_core_has_a_proof_within_the_bound_whoever_is_sick() {
    for converge_ms in CONVERGE_MS {
        for trouble in troubles() {
            for seed in 1..16 {
                let oldest = oldest_proof(World::new(converge_ms, CONTROLLERS), trouble, converge_ms, seed);
                assert!(oldest * 10 <= converge_ms as i64 * 9, "{oldest} of {converge_ms}: {trouble:?}, seed {seed}");
            }
        }
    }
}

#[test]
fn a_single_home_with_fixed_waits_does_not() {
    for converge_ms in CONVERGE_MS {
        let two_faulty = Trouble { candidates: 1, behaviour: Behaviour::Frozen };
        let controllers = names("k", CONTROLLERS);
        let world = World::with(SingleHome::new(&controllers), controllers);
        let oldest = oldest_proof(world, two_faulty, converge_ms, 1);
        assert!(oldest > converge_ms as i64 * 9 / 10, "{oldest} of {converge_ms}");
    }
}

/// A settled router is cut off for a while; of those that it turns to afterwards the first are frozen. How old
/// the proof is at the time from which it counts as in touch again.
fn proof_age_once_in_touch<P: Policy>(mut world: World<P>, cut_ms: u64, faulty: usize) -> i64 {
    world.run(SETTLED, |_, _| Behaviour::Healthy { answer_ms: 5, age_ms: 100 });
    let healed = SETTLED + cut_ms;
    // Bytes on the old connection are sent again only long after the cut.
    world.run(healed, |controller, now| match controller == "k0" && now < SETTLED + 500 {
        true => Behaviour::Frozen,
        false => Behaviour::Unreachable,
    });
    let mut turned_to: Vec<String> = Vec::new();
    world.run(healed + Bounds::default().contact_ms, |controller, _| {
        if turned_to.len() < faulty && !turned_to.iter().any(|known| known == controller) {
            turned_to.push(controller.to_string());
        }
        match turned_to.iter().any(|known| known == controller) {
            true => Behaviour::Frozen,
            false => Behaviour::Healthy { answer_ms: 5, age_ms: 100 },
        }
    });
    world.proof_age().expect("proved")
}

#[test]
fn contact_that_is_back_is_used_before_it_counts_though_two_are_sick() {
    for cut_ms in [300, 1000, 2400, 5000, 20_000] {
        for faulty in 0..=2 {
            let world = World::new(2000, CONTROLLERS);
            let age = proof_age_once_in_touch(world, cut_ms, faulty);
            assert!(age <= 1800, "{age}: cut for {cut_ms}, {faulty} faulty");
        }
    }
    let controllers = names("k", CONTROLLERS);
    let single = World::with(SingleHome::new(&controllers), controllers);
    let age = proof_age_once_in_touch(single, 5000, 2);
    assert!(age > 2000, "a router with a single home: {age}");
}

#[test]
fn a_router_goes_back_to_the_nearest_controller_once_that_is_well() {
    let mut world = World::new(2000, CONTROLLERS);
    let good = Behaviour::Healthy { answer_ms: 5, age_ms: 100 };
    world.run(SETTLED, |_, _| good);
    assert_eq!(world.policy.home(), Some("k0"));
    world.run(SETTLED + 3000, |controller, _| if controller == "k0" { Behaviour::Frozen } else { good });
    assert_eq!(world.policy.home(), Some("k1"), "the next in its order, not the core member that answered too");
    world.run(SETTLED + 10_000, |_, _| good);
    assert_eq!(world.policy.home(), Some("k0"));
}

#[test]
fn what_an_older_controller_is_sure_of_counts_only_if_no_frame_was_lost_since() {
    let mut world = World::new(2000, CONTROLLERS);
    world.run(SETTLED, |_, _| Behaviour::Older { answer_ms: 5 });
    let proved = world.policy.current_as_of();
    let Some(call) = (0..2000).find_map(|wait| world.policy.due_calls(SETTLED + wait).pop().map(|call| (call, wait)))
    else {
        panic!("a renewal is due");
    };
    let (call, sent) = (call.0, SETTLED + call.1);
    world.policy.on_frames_lost(sent + 1);
    let answer = RenewalResponse {
        proof: Proof::ConfirmedByOlderVersion,
        held_revision: 7,
        controllers: world.controllers.clone(),
        core_members: Vec::new(),
    };
    world.policy.on_response(sent + 5, &call.controller, &answer);
    assert_eq!(world.policy.current_as_of(), proved);
    let again = world.policy.due_calls(sent + 5);
    assert_eq!(again.first().map(|call| &call.controller), Some(&call.controller), "at once");
    world.policy.on_response(sent + 10, &call.controller, &answer);
    assert_eq!(world.policy.current_as_of(), Some(sent as i64 + 5 - 1100));
}

/// Two thirds of the controllers outside the core and one member of it are sick, others every two seconds.
fn oldest_proof_under_churn<P: Policy>(mut world: World<P>, converge_ms: u64, seed: u64) -> i64 {
    const CHANGE_MS: u64 = 2000;
    let mut rng = Rng::new(seed);
    world.run(SETTLED, |_, _| healthy(&mut rng, converge_ms));
    world.oldest_proof = 0;
    let members = world.members.clone();
    world.run(SETTLED + 60_000, |controller, now| {
        let change = now / CHANGE_MS;
        let luck = hashing::combine(hashing::hash(controller.as_bytes()), change + (seed << 32));
        let is_member = members.iter().any(|member| member == controller);
        let faulty_member = change as usize % members.len();
        let faulty = if is_member { members[faulty_member] == controller } else { !luck.is_multiple_of(3) };
        match luck / 3 % 3 {
            _ if !faulty => healthy(&mut rng, converge_ms),
            0 => Behaviour::Frozen,
            1 => Behaviour::Unreachable,
            _ => Behaviour::UnconfirmedSince(change * CHANGE_MS),
        }
    });
    world.oldest_proof
}

#[test]
fn a_day_on_which_most_controllers_outside_the_core_are_sick_is_borne() {
    let seeds = 1..12;
    for converge_ms in CONVERGE_MS {
        let following = |seed| oldest_proof_under_churn(World::new(converge_ms, CONTROLLERS), converge_ms, seed);
        let oldest = seeds.clone().map(following).max().unwrap_or(0);
        assert!(oldest * 10 <= converge_ms as i64 * 9, "{oldest} of {converge_ms}");
        let single = |seed| {
            let controllers = names("k", CONTROLLERS);
            oldest_proof_under_churn(World::with(SingleHome::new(&controllers), controllers), converge_ms, seed)
        };
        let oldest = seeds.clone().map(single).max().unwrap_or(0);
        assert!(oldest > converge_ms as i64, "a single home: {oldest} of {converge_ms}");
    }
}
