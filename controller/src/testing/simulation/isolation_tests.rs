//! A controller that is cut off, or stands still, for some twenty seconds and comes back.

use kernel::Rng;

use super::{Cluster, Guards, ALL_GUARDS};

const OUTAGE_MS: u64 = 20_000;

/// How a controller loses the others.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Isolated,
    /// It hears the others, and they do not hear it.
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

fn assert_holds(outage: Outage) {
    let (mut acknowledged, mut reads) = (0, 0);
    for seed in 1..=12 {
        let cluster = run(seed, outage, ALL_GUARDS);
        let history = &cluster.history;
        assert!(history.violations.is_empty(), "seed {seed}, {outage:?}: {:?}", history.violations);
        acknowledged += history.acknowledged();
        reads += history.reads;
    }
    assert!(acknowledged > 300 && reads > 100, "operators must get work done: {acknowledged}, {reads}");
}

fn finds_violation(outage: Outage, guards: Guards) -> bool {
    (1..=40).any(|seed| !run(seed, outage, guards).history.violations.is_empty())
}

#[test]
fn one_that_is_cut_off_hands_out_nothing_old_refuses_nothing_good_and_confirms_nothing() {
    assert_holds(Outage::Isolated);
}

#[test]
fn one_that_nobody_hears_hands_out_nothing_old_refuses_nothing_good_and_confirms_nothing() {
    assert_holds(Outage::Muted);
}

#[test]
fn one_that_stood_still_carries_out_no_order_from_before() {
    assert_holds(Outage::Frozen);
}

#[test]
fn without_reads_at_a_quorum_one_that_is_cut_off_hands_out_an_old_configuration() {
    let guards = Guards { quorum_reads: false, ..ALL_GUARDS };
    assert!(finds_violation(Outage::Isolated, guards), "a simulation that can't fail shows nothing");
}

#[test]
fn without_dropping_old_orders_one_that_stood_still_carries_them_out() {
    let guards = Guards { stale_requests: false, ..ALL_GUARDS };
    assert!(finds_violation(Outage::Frozen, guards), "a simulation that can't fail shows nothing");
}
