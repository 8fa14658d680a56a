//! Controllers that are cut off, freeze, fall and wake, in virtual time: no two holders of a duty act within
//! a lease of each other, and epochs only rise.

use crate::testing::singleton_roles::{Act, World, DUTY, LEASE};

impl World {
    /// No two holders with one fence or within a lease, and no fence below one seen, as orders arrive.
    fn sound(&self) -> bool {
        let mut acts: Vec<&Act> = self.acts.iter().collect();
        acts.sort_by_key(|act| act.at);
        acts.windows(2).all(|pair| {
            let (before, after) = (pair[0], pair[1]);
            let same = before.holder == after.holder;
            after.epoch >= before.epoch && (same || (after.epoch > before.epoch && after.at - before.at >= LEASE))
        })
    }
}

fn run(seed: u64, hasty: bool) -> World {
    let mut world = World::new(seed, hasty);
    while world.now < 60_000 {
        world.step();
    }
    world
}

#[test]
fn no_two_holders_act_within_a_lease() {
    let (mut acts, mut holders) = (0, 0);
    for seed in 1..=60 {
        let world = run(seed, false);
        assert!(world.sound(), "seed {seed}");
        acts += world.acts.len();
        holders += world.acts.windows(2).filter(|pair| pair[0].holder != pair[1].holder).count();
    }
    assert!(acts > 10_000 && holders > 30, "the world must get work done: {acts} acts, {holders} hand-overs");
}

#[test]
fn the_world_shows_the_fault_without_the_wait() {
    assert!((1..=60).any(|seed| !run(seed, true).sound()), "a test that can't fail shows nothing");
}

/// A duty that is held, then a cut of 20 s between its holder and the controller next in order alone. Both
/// reach the third, so both confirm at a majority, and each takes itself for the first.
fn cut_between_the_first_two(own_ears_only: bool) -> (u64, usize) {
    let mut world = World::new(0, false);
    world.own_ears_only = own_ears_only;
    world.calm = true;
    while world.now < 15_000 {
        world.step();
    }
    let order = world.controllers[0].roster.preference_order("", DUTY);
    let place =
        |name: &String| world.controllers.iter().position(|controller| controller.name == *name).expect("known");
    let (first, second) = (place(&order[0]), place(&order[1]));
    world.pair_cut_until[first.min(second)][first.max(second)] = world.now + 20_000;
    let (epoch, acts) = (world.register.0, world.acts.len());
    while world.now < 35_000 {
        world.step();
    }
    assert!(world.sound());
    (world.register.0 - epoch, world.acts.len() - acts)
}

#[test]
fn a_cut_between_two_controllers_does_not_pass_a_duty_to_and_fro() {
    let (epochs, acts) = cut_between_the_first_two(false);
    assert_eq!(epochs, 0, "the holder is alive and confirmed");
    assert!(acts > 300, "it goes on with its work: {acts} acts");
    let (epochs, acts) = cut_between_the_first_two(true);
    assert!(epochs > 10 && acts < 100, "a test that can't fail shows nothing: {epochs} epochs, {acts} acts");
}

#[test]
fn a_holder_that_is_heard_but_reaches_no_majority_is_relieved() {
    let mut world = World::new(0, false);
    world.calm = true;
    while world.now < 15_000 {
        world.step();
    }
    let holder = world.register.1.clone();
    let place = world.controllers.iter().position(|controller| controller.name == holder).expect("held");
    world.controllers[place].deaf_until = world.now + 20_000;
    while world.now < 30_000 {
        world.step();
    }
    let last = world.acts.last().expect("acts");
    assert!(last.holder != holder && last.at > 29_000, "another does the duty meanwhile: {last:?}");
    while world.now < 45_000 {
        world.step();
    }
    assert!(world.sound());
    assert!(world.acts.last().is_some_and(|act| act.holder != holder), "and keeps it");
}

#[test]
fn a_duty_stays_where_it_is_while_nobody_reaches_a_majority() {
    for first_back in 0..3 {
        let mut world = World::new(0, false);
        world.calm = true;
        while world.now < 15_000 {
            world.step();
        }
        let register = world.register.clone();
        for at in 0..3 {
            world.controllers[at].deaf_until = world.now + 20_000 + if at == first_back { 0 } else { 2000 };
        }
        while world.now < 45_000 {
            world.step();
        }
        assert_eq!(world.register, register, "first back: {first_back}");
    }
}
