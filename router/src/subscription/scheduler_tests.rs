//! How old the proof of the configuration becomes at most, whatever faults the controllers have.

use kernel::settings::Bounds;
use kernel::{hashing, Rng};

use crate::subscription::response::{Proof, RenewalResponse};
use crate::testing::single_home::SingleHome;
use crate::testing::subscription_world::{budget, names, Behaviour, Policy, World};

const CONVERGE_MS: [u64; 5] = [1500, 2000, 2500, 3000, 4000];
const CONTROLLERS: usize = 18;
/// By then the router has a stable first home, in milliseconds.
const WARMED_UP_AT: u64 = 5000;
const END: u64 = 12_000;

/// The faults of the controllers that the router calls.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// How many are faulty besides the home: the first that are called after the fault began.
    candidates: usize,
    behaviour: Behaviour,
}

/// A healthy controller's answer: its confirmation is as old as it may be where nothing goes wrong.
fn healthy(rng: &mut Rng, converge_ms: u64) -> Behaviour {
    let budget = budget(converge_ms);
    Behaviour::Healthy { answer_ms: 2 + rng.below(20), age_ms: 5 + rng.below(budget.confirmation_interval_ms()) }
}

/// The oldest that the proof is while, from a time on, the home and others that are called are faulty.
fn oldest_proof<P: Policy>(mut world: World<P>, faults: Faults, converge_ms: u64, seed: u64) -> i64 {
    let mut rng = Rng::new(seed);
    let begin = WARMED_UP_AT + rng.below(1000);
    world.run(begin, |_, _| healthy(&mut rng, converge_ms));
    assert!(world.proof_age().is_some(), "warmed up by then");
    world.oldest_proof = 0;
    let mut faulty: Vec<String> = Vec::new();
    world.run(END, |controller, _| {
        if faulty.len() <= faults.candidates && !faulty.iter().any(|known| known == controller) {
            faulty.push(controller.to_string());
        }
        match faulty.iter().any(|known| known == controller) {
            true => faults.behaviour,
            false => healthy(&mut rng, converge_ms),
        }
    });
    world.oldest_proof
}

fn fault_combinations() -> Vec<Faults> {
    let behaviours =
        [Behaviour::Frozen, Behaviour::Unreachable, Behaviour::Refusing, Behaviour::UnconfirmedSince(WARMED_UP_AT)];
    let each = |candidates| behaviours.map(|behaviour| Faults { candidates, behaviour });
    (0..=3).flat_map(each).collect()
}

#[test]
fn a_router_that_reaches_the_core_has_a_proof_within_the_bound_whichever_controllers_are_faulty() {
    for converge_ms in CONVERGE_MS {
        for faults in fault_combinations() {
            for seed in 1..16 {
                let oldest = oldest_proof(World::new(converge_ms, CONTROLLERS), faults, converge_ms, seed);
                assert!(oldest * 10 <= converge_ms as i64 * 9, "{oldest} of {converge_ms}: {faults:?}, seed {seed}");
            }
        }
    }
}

#[test]
fn a_single_home_with_fixed_timeouts_does_not() {
    for converge_ms in CONVERGE_MS {
        let two_faulty = Faults { candidates: 1, behaviour: Behaviour::Frozen };
        let controllers = names("k", CONTROLLERS);
        let world = World::with(SingleHome::new(&controllers), controllers);
        let oldest = oldest_proof(world, two_faulty, converge_ms, 1);
        assert!(oldest > converge_ms as i64 * 9 / 10, "{oldest} of {converge_ms}");
    }
}

/// Returns how old the proof is when a router counts as in contact again: it was partitioned for a while, and the
/// first controllers that it calls afterwards are frozen.
fn proof_age_once_in_touch<P: Policy>(mut world: World<P>, partition_ms: u64, faulty: usize) -> i64 {
    world.run(WARMED_UP_AT, |_, _| Behaviour::Healthy { answer_ms: 5, age_ms: 100 });
    let healed = WARMED_UP_AT + partition_ms;
    // Bytes on the old connection are sent again only long after the cut.
    world.run(healed, |controller, now| match controller == "k0" && now < WARMED_UP_AT + 500 {
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
fn restored_contact_is_used_in_time_although_two_controllers_are_faulty() {
    for partition_ms in [300, 1000, 2400, 5000, 20_000] {
        for faulty in 0..=2 {
            let world = World::new(2000, CONTROLLERS);
            let age = proof_age_once_in_touch(world, partition_ms, faulty);
            assert!(age <= 1800, "{age}: cut for {partition_ms}, {faulty} faulty");
        }
    }
    let controllers = names("k", CONTROLLERS);
    let single = World::with(SingleHome::new(&controllers), controllers);
    let age = proof_age_once_in_touch(single, 5000, 2);
    assert!(age > 2000, "a router with a single home: {age}");
}

#[test]
fn a_router_returns_to_the_nearest_controller_once_that_recovered() {
    let mut world = World::new(2000, CONTROLLERS);
    let healthy_response = Behaviour::Healthy { answer_ms: 5, age_ms: 100 };
    world.run(WARMED_UP_AT, |_, _| healthy_response);
    assert_eq!(world.policy.home(), Some("k0"));
    world.run(
        WARMED_UP_AT + 3000,
        |controller, _| if controller == "k0" { Behaviour::Frozen } else { healthy_response },
    );
    assert_eq!(world.policy.home(), Some("k1"), "the next in its order, not the core member that answered too");
    world.run(WARMED_UP_AT + 10_000, |_, _| healthy_response);
    assert_eq!(world.policy.home(), Some("k0"));
}

#[test]
fn a_confirmation_by_an_older_controller_counts_only_if_no_frame_was_lost_since() {
    let mut world = World::new(2000, CONTROLLERS);
    world.run(WARMED_UP_AT, |_, _| Behaviour::Older { answer_ms: 5 });
    let proved = world.policy.current_as_of();
    let Some(call) =
        (0..2000).find_map(|wait| world.policy.due_calls(WARMED_UP_AT + wait).pop().map(|call| (call, wait)))
    else {
        panic!("a renewal is due");
    };
    let (call, sent) = (call.0, WARMED_UP_AT + call.1);
    world.policy.on_frames_lost(sent + 1);
    let answer = RenewalResponse {
        proof: Proof::ConfirmedByOlderVersion,
        applied_revision: 7,
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

/// Two thirds of the controllers outside the core and one member of it are faulty, different ones every two seconds.
fn oldest_proof_under_churn<P: Policy>(mut world: World<P>, converge_ms: u64, seed: u64) -> i64 {
    const CHANGE_MS: u64 = 2000;
    let mut rng = Rng::new(seed);
    world.run(WARMED_UP_AT, |_, _| healthy(&mut rng, converge_ms));
    world.oldest_proof = 0;
    let members = world.members.clone();
    world.run(WARMED_UP_AT + 60_000, |controller, now| {
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
fn the_bound_holds_while_most_controllers_outside_the_core_are_faulty() {
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
