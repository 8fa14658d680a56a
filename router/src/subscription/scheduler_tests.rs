//! The maximum age of the proof of the configuration under faults of the controllers.

use kernel::settings::Bounds;
use kernel::{hashing, Rng};

use crate::subscription::response::{Proof, RenewalResponse};
use crate::testing::single_home::SingleHome;
use crate::testing::subscription_world::{budget, numbered_names, Behaviour, Policy, World};

const CONVERGE_MS: [u64; 5] = [1500, 2000, 2500, 3000, 4000];
const CONTROLLERS: usize = 18;
/// The time at which the router has a stable first home, in milliseconds.
const WARMED_UP_AT: u64 = 5000;
const END: u64 = 12_000;

/// The faults of the controllers that a router calls.
#[derive(Clone, Copy, Debug)]
struct Faults {
    /// How many controllers are faulty besides the home: the first ones called after the faults began.
    candidates: usize,
    behaviour: Behaviour,
}

/// Returns the behaviour of a healthy controller; the age of its confirmation is within the usual range.
fn healthy(rng: &mut Rng, converge_ms: u64) -> Behaviour {
    let budget = budget(converge_ms);
    Behaviour::Healthy { response_ms: 2 + rng.below(20), age_ms: 5 + rng.below(budget.confirmation_interval_ms()) }
}

/// Returns the greatest age of the proof from the time on at which the home and other called controllers are faulty.
fn oldest_proof<P: Policy>(mut world: World<P>, faults: Faults, converge_ms: u64, seed: u64) -> i64 {
    let mut rng = Rng::new(seed);
    let faults_begin = WARMED_UP_AT + rng.below(1000);
    world.run(faults_begin, |_, _| healthy(&mut rng, converge_ms));
    assert!(world.proof_age().is_some(), "no proof after the warm-up");
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
    let with_candidates = |candidates| behaviours.map(|behaviour| Faults { candidates, behaviour });
    (0..=3).flat_map(with_candidates).collect()
}

#[test]
fn with_up_to_four_faulty_controllers_the_age_of_the_proof_stays_within_the_bound() {
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
fn with_a_single_home_and_fixed_timeouts_the_age_of_the_proof_exceeds_the_bound() {
    for converge_ms in CONVERGE_MS {
        let two_faulty = Faults { candidates: 1, behaviour: Behaviour::Frozen };
        let controllers = numbered_names("k", CONTROLLERS);
        let world = World::with(SingleHome::new(&controllers), controllers);
        let oldest = oldest_proof(world, two_faulty, converge_ms, 1);
        assert!(oldest > converge_ms as i64 * 9 / 10, "{oldest} of {converge_ms}");
    }
}

/// Returns the age of the proof when a router counts as in contact again after a partition, where the first controllers
/// that it calls after the partition are frozen.
fn proof_age_after_partition<P: Policy>(mut world: World<P>, partition_ms: u64, faulty: usize) -> i64 {
    world.run(WARMED_UP_AT, |_, _| Behaviour::Healthy { response_ms: 5, age_ms: 100 });
    let healed_at = WARMED_UP_AT + partition_ms;
    // On the old connection TCP retransmits only long after the partition began, so that a call there gets no response.
    world.run(healed_at, |controller, now| match controller == "k0" && now < WARMED_UP_AT + 500 {
        true => Behaviour::Frozen,
        false => Behaviour::Unreachable,
    });
    let mut faulty_controllers: Vec<String> = Vec::new();
    world.run(healed_at + Bounds::default().contact_ms, |controller, _| {
        if faulty_controllers.len() < faulty && !faulty_controllers.iter().any(|known| known == controller) {
            faulty_controllers.push(controller.to_string());
        }
        match faulty_controllers.iter().any(|known| known == controller) {
            true => Behaviour::Frozen,
            false => Behaviour::Healthy { response_ms: 5, age_ms: 100 },
        }
    });
    world.proof_age().expect("there is a proof")
}

#[test]
fn after_a_partition_the_proof_is_fresh_in_time_despite_two_faulty_controllers() {
    for partition_ms in [300, 1000, 2400, 5000, 20_000] {
        for faulty in 0..=2 {
            let world = World::new(2000, CONTROLLERS);
            let age = proof_age_after_partition(world, partition_ms, faulty);
            assert!(age <= 1800, "{age}: partition of {partition_ms} ms, {faulty} faulty");
        }
    }
    let controllers = numbered_names("k", CONTROLLERS);
    let single = World::with(SingleHome::new(&controllers), controllers);
    let age = proof_age_after_partition(single, 5000, 2);
    assert!(age > 2000, "a router with a single home: {age}");
}

#[test]
fn a_router_returns_to_the_nearest_controller_once_it_has_recovered() {
    let mut world = World::new(2000, CONTROLLERS);
    let healthy_response = Behaviour::Healthy { response_ms: 5, age_ms: 100 };
    world.run(WARMED_UP_AT, |_, _| healthy_response);
    assert_eq!(world.policy.home(), Some("k0"));
    world.run(
        WARMED_UP_AT + 3000,
        |controller, _| if controller == "k0" { Behaviour::Frozen } else { healthy_response },
    );
    assert_eq!(
        world.policy.home(),
        Some("k1"),
        "the next in the router's order, not the core member that responded too"
    );
    world.run(WARMED_UP_AT + 10_000, |_, _| healthy_response);
    assert_eq!(world.policy.home(), Some("k0"));
}

#[test]
fn a_confirmation_by_an_older_controller_counts_only_if_no_frame_was_lost_since_the_call() {
    let mut world = World::new(2000, CONTROLLERS);
    world.run(WARMED_UP_AT, |_, _| Behaviour::Older { response_ms: 5 });
    let proved = world.policy.current_as_of();
    let Some(call) =
        (0..2000).find_map(|wait| world.policy.due_calls(WARMED_UP_AT + wait).pop().map(|call| (call, wait)))
    else {
        panic!("no renewal became due");
    };
    let (call, sent_at) = (call.0, WARMED_UP_AT + call.1);
    world.policy.on_frames_lost(sent_at + 1);
    let response = RenewalResponse {
        proof: Proof::ConfirmedByOlderVersion,
        applied_revision: 7,
        controllers: world.controllers.clone(),
        core_members: Vec::new(),
    };
    world.policy.on_response(sent_at + 5, &call.controller, &response);
    assert_eq!(world.policy.current_as_of(), proved);
    let repeated = world.policy.due_calls(sent_at + 5);
    assert_eq!(repeated.first().map(|call| &call.controller), Some(&call.controller), "at once");
    world.policy.on_response(sent_at + 10, &call.controller, &response);
    assert_eq!(world.policy.current_as_of(), Some(sent_at as i64 + 5 - 1100));
}

/// Returns the greatest age of the proof while two thirds of the controllers outside the core and one member of the
/// core are faulty, different ones every two seconds.
fn oldest_proof_under_churn<P: Policy>(mut world: World<P>, converge_ms: u64, seed: u64) -> i64 {
    const CHANGE_MS: u64 = 2000;
    let mut rng = Rng::new(seed);
    world.run(WARMED_UP_AT, |_, _| healthy(&mut rng, converge_ms));
    world.oldest_proof = 0;
    let members = world.members.clone();
    world.run(WARMED_UP_AT + 60_000, |controller, now| {
        let period = now / CHANGE_MS;
        let roll = hashing::combine(hashing::hash(controller.as_bytes()), period + (seed << 32));
        let is_member = members.iter().any(|member| member == controller);
        let faulty_member = period as usize % members.len();
        let faulty = if is_member { members[faulty_member] == controller } else { !roll.is_multiple_of(3) };
        match roll / 3 % 3 {
            _ if !faulty => healthy(&mut rng, converge_ms),
            0 => Behaviour::Frozen,
            1 => Behaviour::Unreachable,
            _ => Behaviour::UnconfirmedSince(period * CHANGE_MS),
        }
    });
    world.oldest_proof
}

#[test]
fn the_bound_holds_while_most_controllers_outside_the_core_are_faulty() {
    let seeds = 1..12;
    for converge_ms in CONVERGE_MS {
        let with_hedging = |seed| oldest_proof_under_churn(World::new(converge_ms, CONTROLLERS), converge_ms, seed);
        let oldest = seeds.clone().map(with_hedging).max().unwrap_or(0);
        assert!(oldest * 10 <= converge_ms as i64 * 9, "{oldest} of {converge_ms}");
        let with_single_home = |seed| {
            let controllers = numbered_names("k", CONTROLLERS);
            oldest_proof_under_churn(World::with(SingleHome::new(&controllers), controllers), converge_ms, seed)
        };
        let oldest = seeds.clone().map(with_single_home).max().unwrap_or(0);
        assert!(oldest > converge_ms as i64, "a single home: {oldest} of {converge_ms}");
    }
}
