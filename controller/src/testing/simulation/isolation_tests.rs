//! A controller that is cut off, or stands still, for some twenty seconds and comes back.

use kernel::Rng;

use super::{Cluster, Guards, ALL_GUARDS};

const AWAY_MS: u64 = 20_000;

/// How a controller loses the others.
#[derive(Clone, Copy, Debug)]
enum Away {
    CutOff,
    /// It hears the others, and they do not hear it.
    Unheard,
    Frozen,
}

fn run(seed: u64, away: Away, guards: Guards) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 3);
    cluster.guards = guards;
    cluster.lost_answers = 20;
    let mut chance = Rng::new(seed ^ 0xc07);
    cluster.run(2500 + chance.below(1500));
    let at = chance.below(3) as usize;
    match away {
        Away::CutOff => cluster.isolate(at),
        Away::Unheard => cluster.silence(at),
        Away::Frozen => cluster.freeze(at),
    }
    cluster.run(AWAY_MS / 2);
    if !matches!(away, Away::Frozen) {
        assert!(!cluster.nodes[at].is_confirmed(cluster.now), "seed {seed}: confirmed without a quorum");
    }
    cluster.run(AWAY_MS / 2);
    cluster.network.heal();
    cluster.thaw(at);
    cluster.run(3000);
    cluster.finish();
    cluster
}

fn holds(away: Away) {
    let (mut acknowledged, mut reads) = (0, 0);
    for seed in 1..=12 {
        let cluster = run(seed, away, ALL_GUARDS);
        let history = &cluster.history;
        assert!(history.violations.is_empty(), "seed {seed}, {away:?}: {:?}", history.violations);
        acknowledged += history.acknowledged();
        reads += history.reads;
    }
    assert!(acknowledged > 300 && reads > 100, "operators must get work done: {acknowledged}, {reads}");
}

fn breaks(away: Away, guards: Guards) -> bool {
    (1..=40).any(|seed| !run(seed, away, guards).history.violations.is_empty())
}

#[test]
fn one_that_is_cut_off_hands_out_nothing_old_refuses_nothing_good_and_confirms_nothing() {
    holds(Away::CutOff);
}

#[test]
fn one_that_nobody_hears_hands_out_nothing_old_refuses_nothing_good_and_confirms_nothing() {
    holds(Away::Unheard);
}

#[test]
fn one_that_stood_still_carries_out_no_order_from_before() {
    holds(Away::Frozen);
}

#[test]
fn without_reads_at_a_quorum_one_that_is_cut_off_hands_out_an_old_configuration() {
    let guards = Guards { quorum_reads: false, ..ALL_GUARDS };
    assert!(breaks(Away::CutOff, guards), "a simulation that can't fail shows nothing");
}

#[test]
fn without_dropping_old_orders_one_that_stood_still_carries_them_out() {
    let guards = Guards { stale_orders: false, ..ALL_GUARDS };
    assert!(breaks(Away::Frozen, guards), "a simulation that can't fail shows nothing");
}
