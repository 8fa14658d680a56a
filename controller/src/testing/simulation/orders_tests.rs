//! Operators that race each other and retry actions that got no answer.

use kernel::Rng;

use super::{Cluster, Guards, ALL_GUARDS};

/// Three operators lose most of their answers while one machine after another is down for a while.
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
fn one_change_per_revision_is_acknowledged_and_no_committed_one_is_rejected() {
    let mut acknowledged = 0;
    for seed in 1..=25 {
        let cluster = run(seed, ALL_GUARDS);
        assert!(cluster.history.violations.is_empty(), "seed {seed}: {:?}", cluster.history.violations);
        acknowledged += cluster.history.acknowledged();
    }
    assert!(acknowledged > 200, "too few changes acknowledged: {acknowledged}");
}

#[test]
fn without_digests_a_retried_change_is_rejected() {
    let guards = Guards { digests: false, ..ALL_GUARDS };
    let found_violation = (1..=20).any(|seed| !run(seed, guards).history.violations.is_empty());
    assert!(found_violation, "the simulation did not find the fault that the guard prevents");
}

/// Like [`run`], but operators also send partial changes and invalid ones of every kind, and some actions reach two
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
fn no_invalid_change_is_committed_among_mixed_actions() {
    let mut acknowledged = 0;
    for seed in 1..=40 {
        let cluster = run_mixed(seed, ALL_GUARDS);
        assert!(cluster.history.violations.is_empty(), "seed {seed}: {:?}", cluster.history.violations);
        acknowledged += cluster.history.acknowledged();
    }
    assert!(acknowledged > 400, "too few changes acknowledged: {acknowledged}");
}

#[test]
fn without_validation_an_invalid_change_is_committed() {
    let guards = Guards { validity: false, ..ALL_GUARDS };
    let found_violation = (1..=20).any(|seed| !run_mixed(seed, guards).history.violations.is_empty());
    assert!(found_violation, "the simulation did not find the fault that the guard prevents");
}

#[test]
fn without_digests_a_change_executed_by_two_controllers_is_rejected() {
    let guards = Guards { digests: false, ..ALL_GUARDS };
    let found_violation = (1..=20).any(|seed| !run_mixed(seed, guards).history.violations.is_empty());
    assert!(found_violation, "the simulation did not find the fault that the guard prevents");
}

/// One controller after another is isolated for a short time, so that relayed actions are executed late.
fn run_with_short_isolations(seed: u64, guards: Guards) -> Cluster {
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
fn a_late_relayed_action_does_not_undo_a_later_one() {
    for seed in 1..=40 {
        let cluster = run_with_short_isolations(seed, ALL_GUARDS);
        assert!(cluster.history.violations.is_empty(), "seed {seed}: {:?}", cluster.history.violations);
    }
}

#[test]
fn without_versions_a_late_relayed_evacuation_undoes_a_later_one() {
    let guards = Guards { versioned_evacuations: false, ..ALL_GUARDS };
    let found_violation = (1..=300).any(|seed| !run_with_short_isolations(seed, guards).history.violations.is_empty());
    assert!(found_violation, "the simulation did not find the fault that the guard prevents");
}
