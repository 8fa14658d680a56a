//! Members that return after hundreds of changes, or with an empty disk.

use kernel::Rng;

use super::{Cluster, Guards, ALL_GUARDS};

/// How long a restarted machine has to catch up, in milliseconds.
const CATCH_UP_MS: u64 = 4000;

/// Many operators change the configuration continuously while one machine after another is down for a while. Returns
/// whether each of them caught up in time while the changes continued.
fn run(seed: u64, wipe: bool, guards: Guards) -> (Cluster, bool) {
    let mut cluster = Cluster::new(seed, 3, 8);
    cluster.guards = guards;
    cluster.max_think_time_ms = 20;
    let mut rng = Rng::new(seed ^ 0xca7);
    let mut caught_up = true;
    cluster.run(1500);
    for _ in 0..3 {
        let index = rng.below(3) as usize;
        cluster.lose_power(index, wipe);
        cluster.run(500 + rng.below(6000));
        cluster.start(index);
        cluster.run(CATCH_UP_MS);
        let node = &cluster.nodes[index];
        caught_up &= node.acceptor.may_vote && node.is_confirmed(cluster.now);
    }
    cluster.finish();
    (cluster, caught_up)
}

fn assert_no_violations(wipe: bool) {
    let mut acknowledged = 0;
    for seed in 1..=10 {
        let (cluster, caught_up) = run(seed, wipe, ALL_GUARDS);
        assert!(caught_up, "seed {seed}: a restarted member did not catch up");
        assert!(cluster.history.violations.is_empty(), "seed {seed}: {:?}", cluster.history.violations);
        acknowledged += cluster.history.acknowledged();
    }
    assert!(acknowledged > 1000, "too few changes acknowledged: {acknowledged}");
}

#[test]
fn a_member_restarted_during_continuous_changes_catches_up_in_time() {
    assert_no_violations(false);
}

#[test]
fn a_wiped_member_catches_up_in_time_during_continuous_changes() {
    assert_no_violations(true);
}

#[test]
fn without_recovery_reads_a_wiped_member_breaks_its_earlier_promises() {
    let guards = Guards { recovery_reads: false, ..ALL_GUARDS };
    let found_violation = (1..=60).any(|seed| !run(seed, true, guards).0.history.violations.is_empty());
    assert!(found_violation, "the simulation did not find the fault that the guard prevents");
}

#[test]
fn without_newer_entries_a_restarted_member_may_not_catch_up_in_time() {
    let guards = Guards { newer_entries: false, ..ALL_GUARDS };
    let late = (1..=40).any(|seed| !run(seed, false, guards).1);
    assert!(late, "the simulation did not find the fault that the guard prevents");
}
