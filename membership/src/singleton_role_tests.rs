//! Controllers that are cut off, freeze, fall and wake, in virtual time: no two owners of a role act within
//! a lease of each other, and epochs only rise.

use crate::testing::singleton_roles::{Act, World, LEASE_MS, ROLE};

const RUN_MS: u64 = 60_000;
/// By then the role of an undisturbed world has an owner that acts.
const SETTLED_MS: u64 = 15_000;
const PARTITION_MS: u64 = 20_000;

impl World {
    fn undisturbed() -> World {
        let mut world = World::new(0, false);
        world.is_undisturbed = true;
        world
    }

    /// No two owners act under one epoch or within a lease, and no epoch is below an earlier one, as orders arrive.
    fn is_sound(&self) -> bool {
        let mut acts: Vec<&Act> = self.acts.iter().collect();
        acts.sort_by_key(|act| act.at);
        acts.windows(2).all(|pair| {
            let (before, after) = (pair[0], pair[1]);
            let same = before.owner == after.owner;
            after.epoch >= before.epoch && (same || (after.epoch > before.epoch && after.at - before.at >= LEASE_MS))
        })
    }

    fn index_of(&self, name: &str) -> usize {
        self.controllers.iter().position(|controller| controller.name == name).expect("a known controller")
    }
}

fn run(seed: u64, skips_wait: bool) -> World {
    let mut world = World::new(seed, skips_wait);
    world.run_until(RUN_MS);
    world
}

#[test]
fn no_two_owners_act_within_a_lease() {
    let (mut acts, mut changes) = (0, 0);
    for seed in 1..=60 {
        let world = run(seed, false);
        assert!(world.is_sound(), "seed {seed}");
        acts += world.acts.len();
        changes += world.acts.windows(2).filter(|pair| pair[0].owner != pair[1].owner).count();
    }
    assert!(acts > 10_000 && changes > 30, "the world must get work done: {acts} acts, {changes} changes of the owner");
}

#[test]
fn the_world_shows_the_fault_without_the_wait() {
    assert!((1..=60).any(|seed| !run(seed, true).is_sound()), "a test that can't fail shows nothing");
}

/// Cuts the owner of a role off from the controller next in order alone. Both reach the third, so a quorum confirms both, and
/// each finds itself first in the order. Returns how many epochs and acts there were during the cut.
fn partition_between_the_first_two(ignores_reports: bool) -> (u64, usize) {
    let mut world = World::undisturbed();
    world.ignores_reports = ignores_reports;
    world.run_until(SETTLED_MS);
    let order = world.controllers[0].view.preference_order("", ROLE);
    let (first, second) = (world.index_of(&order[0]), world.index_of(&order[1]));
    world.pair_partitioned_until[first.min(second)][first.max(second)] = world.now + PARTITION_MS;
    let (epoch, acts) = (world.register.epoch, world.acts.len());
    world.run_until(SETTLED_MS + PARTITION_MS);
    assert!(world.is_sound());
    (world.register.epoch - epoch, world.acts.len() - acts)
}

#[test]
fn a_cut_between_two_controllers_does_not_pass_a_role_to_and_fro() {
    let (epochs, acts) = partition_between_the_first_two(false);
    assert_eq!(epochs, 0, "the owner is alive and confirmed");
    assert!(acts > 300, "it goes on with its work: {acts} acts");
    let (epochs, acts) = partition_between_the_first_two(true);
    assert!(epochs > 10 && acts < 100, "a test that can't fail shows nothing: {epochs} epochs, {acts} acts");
}

#[test]
fn a_live_owner_that_reaches_no_quorum_is_replaced() {
    let mut world = World::undisturbed();
    world.run_until(SETTLED_MS);
    let owner = world.register.owner.clone();
    let index = world.index_of(&owner);
    world.controllers[index].without_quorum_until = world.now + PARTITION_MS;
    world.run_until(30_000);
    let last = world.acts.last().expect("acts");
    assert!(last.owner != owner && last.at > 29_000, "another carries out the role meanwhile: {last:?}");
    world.run_until(45_000);
    assert!(world.is_sound());
    assert!(world.acts.last().is_some_and(|act| act.owner != owner), "and keeps it");
}

#[test]
fn a_role_keeps_its_owner_while_nobody_reaches_a_quorum() {
    for first_back in 0..3 {
        let mut world = World::undisturbed();
        world.run_until(SETTLED_MS);
        let register = world.register.clone();
        for index in 0..3 {
            let delay_ms = if index == first_back { 0 } else { 2000 };
            world.controllers[index].without_quorum_until = world.now + PARTITION_MS + delay_ms;
        }
        world.run_until(45_000);
        assert_eq!(world.register, register, "first back: {first_back}");
    }
}
