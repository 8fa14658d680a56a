//! Simulates in virtual time controllers that are partitioned, freeze and restart: no two owners of a role act within
//! one lease duration of each other, and epochs never decrease.

use crate::testing::singleton_roles::{Order, Simulation, LEASE_MS, ROLE};

const RUN_MS: u64 = 60_000;
/// Time by which the role has an acting owner in a simulation without faults, in milliseconds.
const SETTLED_MS: u64 = 15_000;
const PARTITION_MS: u64 = 20_000;

impl Simulation {
    fn without_faults() -> Simulation {
        let mut simulation = Simulation::new(0, false);
        simulation.is_fault_free = true;
        simulation
    }

    /// Returns whether, in the sequence in which orders arrive, epochs never decrease and two successive owners have
    /// different epochs and are at least one lease duration apart.
    fn is_safe(&self) -> bool {
        let mut orders: Vec<&Order> = self.orders.iter().collect();
        orders.sort_by_key(|order| order.arrives_at);
        orders.windows(2).all(|pair| {
            let (before, after) = (pair[0], pair[1]);
            let same_owner = before.owner == after.owner;
            after.epoch >= before.epoch
                && (same_owner || (after.epoch > before.epoch && after.arrives_at - before.arrives_at >= LEASE_MS))
        })
    }

    fn index_of(&self, name: &str) -> usize {
        self.controllers.iter().position(|controller| controller.name == name).expect("a controller of this name")
    }
}

fn run_with_faults(seed: u64, skips_wait: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, skips_wait);
    simulation.run_until(RUN_MS);
    simulation
}

#[test]
fn no_two_owners_act_within_a_lease() {
    let (mut orders, mut owner_changes) = (0, 0);
    for seed in 1..=60 {
        let simulation = run_with_faults(seed, false);
        assert!(simulation.is_safe(), "seed {seed}");
        orders += simulation.orders.len();
        owner_changes += simulation.orders.windows(2).filter(|pair| pair[0].owner != pair[1].owner).count();
    }
    assert!(
        orders > 10_000 && owner_changes > 30,
        "too little activity: {orders} orders, {owner_changes} owner changes"
    );
}

#[test]
fn owners_that_skip_the_wait_act_within_a_lease_of_each_other() {
    assert!(
        (1..=60).any(|seed| !run_with_faults(seed, true).is_safe()),
        "the simulation does not detect a missing wait"
    );
}

/// Partitions the owner of a role from the next controller in the preference order only. Both reach the third one, so a
/// quorum confirms both, and each finds itself first in the order. Returns the numbers of new epochs and orders during
/// the partition.
fn partition_between_the_first_two(ignores_reports: bool) -> (u64, usize) {
    let mut simulation = Simulation::without_faults();
    simulation.ignores_reports = ignores_reports;
    simulation.run_until(SETTLED_MS);
    let preference_order = simulation.controllers[0].view.preference_order("", ROLE);
    let (first, second) = (simulation.index_of(&preference_order[0]), simulation.index_of(&preference_order[1]));
    simulation.pair_partitioned_until[first.min(second)][first.max(second)] = simulation.now + PARTITION_MS;
    let (epoch, orders) = (simulation.register.epoch, simulation.orders.len());
    simulation.run_until(SETTLED_MS + PARTITION_MS);
    assert!(simulation.is_safe());
    (simulation.register.epoch - epoch, simulation.orders.len() - orders)
}

#[test]
fn a_partition_between_two_controllers_does_not_make_a_role_flap() {
    let (epochs, orders) = partition_between_the_first_two(false);
    assert_eq!(epochs, 0, "the owner is live and confirmed");
    assert!(orders > 300, "the owner must keep acting: {orders} orders");
    let (epochs, orders) = partition_between_the_first_two(true);
    assert!(epochs > 10 && orders < 100, "without reports the role must flap: {epochs} epochs, {orders} orders");
}

#[test]
fn a_live_owner_that_reaches_no_quorum_is_replaced() {
    let mut simulation = Simulation::without_faults();
    simulation.run_until(SETTLED_MS);
    let owner = simulation.register.owner.clone();
    let index = simulation.index_of(&owner);
    simulation.controllers[index].without_quorum_until = simulation.now + PARTITION_MS;
    simulation.run_until(30_000);
    let last = simulation.orders.last().expect("at least one order");
    assert!(last.owner != owner && last.arrives_at > 29_000, "another controller must act meanwhile: {last:?}");
    simulation.run_until(45_000);
    assert!(simulation.is_safe());
    assert!(simulation.orders.last().is_some_and(|order| order.owner != owner), "the new owner must keep the role");
}

#[test]
fn a_role_keeps_its_owner_while_nobody_reaches_a_quorum() {
    for first_back in 0..3 {
        let mut simulation = Simulation::without_faults();
        simulation.run_until(SETTLED_MS);
        let register = simulation.register.clone();
        for index in 0..3 {
            let delay_ms = if index == first_back { 0 } else { 2000 };
            simulation.controllers[index].without_quorum_until = simulation.now + PARTITION_MS + delay_ms;
        }
        simulation.run_until(45_000);
        assert_eq!(simulation.register, register, "first controller back: {first_back}");
    }
}
