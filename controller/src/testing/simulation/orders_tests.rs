//! Operators that race and send again what got no answer.

use kernel::Rng;

use super::{Cluster, Guards, ALL_GUARDS};

/// Three operators, most answers lost, one machine after the other down for a while.
fn run(seed: u64, guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 3);
    cluster.guards = guards;
    cluster.lost_answer_percent = 70;
    let mut rng = Rng::new(seed ^ 0x0bad);
    for _ in 0..3 {
        cluster.run(3000);
        let index = rng.below(3) as usize;
        cluster.lose_power(index, false);
        cluster.run(300 + rng.below(1500));
        cluster.start(index);
        cluster.run(3000);
    }
    cluster.finish();
    cluster
}

#[test]
fn one_change_of_a_version_is_acknowledged_and_none_that_was_taken_is_refused() {
    let mut acknowledged = 0;
    for seed in 1..=25 {
        let cluster = run(seed, ALL_GUARDS);
        assert!(cluster.history.violations.is_empty(), "seed {seed}: {:?}", cluster.history.violations);
        acknowledged += cluster.history.acknowledged();
    }
    assert!(acknowledged > 200, "operators must get work done: {acknowledged}");
}

#[test]
fn without_digests_an_order_sent_again_is_refused() {
    let guards = Guards { digests: false, ..ALL_GUARDS };
    let found_violation = (1..=20).any(|seed| !run(seed, guards).history.violations.is_empty());
    assert!(found_violation, "a simulation that can't fail shows nothing");
}

/// The same with operators that send everything: changes of named items, invalid ones of every kind, orders that reach two
/// controllers at once.
fn run_mixed(seed: u64, guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 4);
    cluster.guards = guards;
    cluster.lost_answer_percent = 40;
    cluster.mixed_actions = true;
    let mut rng = Rng::new(seed ^ 0x3a1f);
    for _ in 0..3 {
        cluster.run(3000);
        let index = rng.below(3) as usize;
        cluster.lose_power(index, false);
        cluster.run(300 + rng.below(1500));
        cluster.start(index);
        cluster.run(3000);
    }
    cluster.finish();
    cluster
}

#[test]
fn no_invalid_change_is_taken_whatever_else_is_sent() {
    let mut acknowledged = 0;
    for seed in 1..=40 {
        let cluster = run_mixed(seed, ALL_GUARDS);
        assert!(cluster.history.violations.is_empty(), "seed {seed}: {:?}", cluster.history.violations);
        acknowledged += cluster.history.acknowledged();
    }
    assert!(acknowledged > 400, "operators must get work done: {acknowledged}");
}

#[test]
fn without_checks_an_invalid_change_is_taken() {
    let guards = Guards { validity: false, ..ALL_GUARDS };
    let found_violation = (1..=20).any(|seed| !run_mixed(seed, guards).history.violations.is_empty());
    assert!(found_violation, "a simulation that can't fail shows nothing");
}

#[test]
fn without_digests_an_order_that_two_controllers_carry_out_is_refused() {
    let guards = Guards { digests: false, ..ALL_GUARDS };
    let found_violation = (1..=20).any(|seed| !run_mixed(seed, guards).history.violations.is_empty());
    assert!(found_violation, "a simulation that can't fail shows nothing");
}

/// One controller after the other is cut off for a moment: what it was relayed meanwhile it carries out late.
fn run_short_cuts(seed: u64, guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 2);
    cluster.guards = guards;
    cluster.max_think_time_ms = 20;
    cluster.mixed_actions = true;
    let mut rng = Rng::new(seed ^ 0x55c1);
    for _ in 0..40 {
        cluster.isolate(rng.below(3) as usize);
        cluster.run(100 + rng.below(700));
        cluster.network.heal();
        cluster.run(20 + rng.below(200));
    }
    cluster.finish();
    cluster
}

#[test]
fn a_relayed_order_that_comes_late_undoes_no_later_one() {
    for seed in 1..=40 {
        let cluster = run_short_cuts(seed, ALL_GUARDS);
        assert!(cluster.history.violations.is_empty(), "seed {seed}: {:?}", cluster.history.violations);
    }
}

#[test]
fn without_versions_a_relayed_evacuation_that_comes_late_undoes_a_later_order() {
    let guards = Guards { versioned_evacuations: false, ..ALL_GUARDS };
    let found_violation = (1..=300).any(|seed| !run_short_cuts(seed, guards).history.violations.is_empty());
    assert!(found_violation, "a simulation that can't fail shows nothing");
}
