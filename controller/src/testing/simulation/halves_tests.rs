//! A core that is cut into two halves: nobody has a majority, and nothing acknowledged is lost or shown in an older state.
use super::{Cluster, Guards, ALL_GUARDS};

const PARTITION_MS: u64 = 6000;

impl Cluster {
    /// Cuts the first nodes off from the others, both ways. Operators reach all.
    fn partition(&mut self, first: usize) {
        for one in 0..first {
            for other in first..self.nodes.len() {
                self.network.cut(one, other);
                self.network.cut(other, one);
            }
        }
    }
}

/// What overlaps the cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Overlap {
    NoFault,
    /// A member of each half loses power, and comes back before the cut heals.
    PowerLoss,
    /// A member stands still until after the cut.
    Freeze,
}

fn run(seed: u64, size: usize, overlap: Overlap) -> Cluster {
    let mut cluster = Cluster::new(seed, size, 3);
    cluster.lost_answer_percent = 20;
    cluster.run(3000 + seed * 37 % 1000);
    cluster.partition(size / 2);
    cluster.run(PARTITION_MS / 3);
    match overlap {
        Overlap::NoFault => {}
        Overlap::PowerLoss => [0, size - 1].into_iter().for_each(|index| cluster.lose_power(index, false)),
        Overlap::Freeze => cluster.freeze(1),
    }
    cluster.run(PARTITION_MS / 3);
    let now = cluster.now;
    assert!(cluster.nodes.iter().all(|node| !node.is_confirmed(now)), "seed {seed}: confirmed without a majority");
    (0..size).for_each(|index| cluster.start(index));
    cluster.run(PARTITION_MS / 3);
    cluster.network.heal();
    cluster.run(1000);
    cluster.thaw(1);
    cluster.run(4000);
    cluster.finish();
    cluster
}

fn assert_holds(size: usize, overlap: Overlap) {
    let mut acknowledged = 0;
    for seed in 1..=8 {
        let cluster = run(seed, size, overlap);
        let history = &cluster.history;
        assert!(history.violations.is_empty(), "seed {seed}, {size}, {overlap:?}: {:?}", history.violations);
        acknowledged += history.acknowledged();
    }
    assert!(acknowledged > 100, "operators must get work done before and after: {acknowledged}");
}

#[test]
fn halves_of_four_and_of_six_acknowledge_nothing_and_show_nothing_old() {
    assert_holds(4, Overlap::NoFault);
    assert_holds(6, Overlap::NoFault);
}

#[test]
fn losses_of_power_during_the_cut_lose_nothing() {
    assert_holds(4, Overlap::PowerLoss);
    assert_holds(6, Overlap::PowerLoss);
}

#[test]
fn a_member_that_stands_still_through_the_cut_hands_out_nothing_old() {
    assert_holds(4, Overlap::Freeze);
    assert_holds(6, Overlap::Freeze);
}

/// The same cut, but for one part that has a majority: without reads at one the other shows what is old, and the history
/// tells.
#[test]
fn without_reads_at_a_majority_the_smaller_part_hands_out_an_old_configuration() {
    let shows_old = |seed: u64| {
        let mut cluster = Cluster::new(seed, 4, 3);
        cluster.guards = Guards { quorum_reads: false, ..ALL_GUARDS };
        cluster.run(3000);
        cluster.partition(1);
        cluster.run(PARTITION_MS);
        cluster.finish();
        !cluster.history.violations.is_empty()
    };
    assert!((1..=20).any(shows_old), "a simulation that can't fail shows nothing");
}
