//! A controller that is isolated or frozen for twenty seconds and then returns.

use kernel::Rng;

use super::{Cluster, Guards, ALL_GUARDS};

/// How long an outage lasts, in milliseconds.
const OUTAGE_MS: u64 = 20_000;

/// How a controller loses contact with the others.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Isolated,
    /// It receives messages from the others, but they receive none from it.
    Muted,
    Frozen,
}

fn run(seed: u64, outage: Outage, guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 3);
    cluster.guards = guards;
    cluster.lost_answer_percent = 20;
    let mut rng = Rng::new(seed ^ 0xc07);
    cluster.run(2500 + rng.below(1500));
    let index = rng.below(3) as usize;
    match outage {
        Outage::Isolated => cluster.isolate(index),
        Outage::Muted => cluster.block_outgoing(index),
        Outage::Frozen => cluster.freeze(index),
    }
    cluster.run(OUTAGE_MS / 2);
    if !matches!(outage, Outage::Frozen) {
        assert!(!cluster.nodes[index].is_confirmed(cluster.now), "seed {seed}: confirmed without a quorum");
    }
    cluster.run(OUTAGE_MS / 2);
    cluster.network.heal();
    cluster.thaw(index);
    cluster.run(3000);
    cluster.finish();
    cluster
}

fn assert_no_violations(outage: Outage) {
    let (mut acknowledged, mut reads) = (0, 0);
    for seed in 1..=12 {
        let cluster = run(seed, outage, ALL_GUARDS);
        let history = &cluster.history;
        assert!(history.violations.is_empty(), "seed {seed}, {outage:?}: {:?}", history.violations);
        acknowledged += history.acknowledged();
        reads += history.reads;
    }
    assert!(acknowledged > 300 && reads > 100, "too few changes or reads completed: {acknowledged}, {reads}");
}

fn finds_violation(outage: Outage, guards: Guards) -> bool {
    (1..=40).any(|seed| !run(seed, outage, guards).history.violations.is_empty())
}

#[test]
fn an_isolated_controller_is_not_confirmed_and_violates_no_guarantee() {
    assert_no_violations(Outage::Isolated);
}

#[test]
fn a_muted_controller_is_not_confirmed_and_violates_no_guarantee() {
    assert_no_violations(Outage::Muted);
}

#[test]
fn a_frozen_controller_executes_no_stale_request() {
    assert_no_violations(Outage::Frozen);
}

#[test]
fn without_quorum_reads_an_isolated_controller_serves_an_old_configuration() {
    let guards = Guards { quorum_reads: false, ..ALL_GUARDS };
    assert!(finds_violation(Outage::Isolated, guards), "the simulation did not find the fault that the guard prevents");
}

#[test]
fn without_dropping_stale_requests_a_frozen_controller_executes_them() {
    let guards = Guards { stale_requests: false, ..ALL_GUARDS };
    assert!(finds_violation(Outage::Frozen, guards), "the simulation did not find the fault that the guard prevents");
}
