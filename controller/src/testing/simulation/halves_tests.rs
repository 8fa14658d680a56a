//! A core that is partitioned into two halves, neither of which has a majority. No acknowledged change may be lost, and
//! no controller may serve an older state.
use super::{Cluster, Guards, ALL_GUARDS};

/// How long a partition lasts, in milliseconds.
const PARTITION_MS: u64 = 6000;

impl Cluster {
    /// Partitions the first `count` nodes from the others. Operators still reach all nodes.
    fn partition(&mut self, count: usize) {
        for one in 0..count {
            for other in count..self.nodes.len() {
                self.network.cut(one, other);
                self.network.cut(other, one);
            }
        }
    }
}

/// A fault that overlaps the partition.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Overlap {
    NoFault,
    /// A member of each half loses power and restarts before the partition heals.
    PowerLoss,
    /// A member is frozen until after the partition has healed.
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

fn assert_no_violations(size: usize, overlap: Overlap) {
    let mut acknowledged = 0;
    for seed in 1..=8 {
        let cluster = run(seed, size, overlap);
        let history = &cluster.history;
        assert!(history.violations.is_empty(), "seed {seed}, {size}, {overlap:?}: {:?}", history.violations);
        acknowledged += history.acknowledged();
    }
    assert!(acknowledged > 100, "too few changes acknowledged before and after the partition: {acknowledged}");
}

#[test]
fn halves_without_a_majority_are_not_confirmed_and_lose_no_acknowledged_change() {
    assert_no_violations(4, Overlap::NoFault);
    assert_no_violations(6, Overlap::NoFault);
}

#[test]
fn power_losses_during_a_partition_lose_no_acknowledged_change() {
    assert_no_violations(4, Overlap::PowerLoss);
    assert_no_violations(6, Overlap::PowerLoss);
}

#[test]
fn a_member_frozen_during_a_partition_serves_no_old_configuration() {
    assert_no_violations(4, Overlap::Freeze);
    assert_no_violations(6, Overlap::Freeze);
}

/// Here one side has a majority. Without quorum reads the other side serves an old configuration, which the history
/// must report.
#[test]
fn without_quorum_reads_the_minority_serves_an_old_configuration() {
    let serves_old_config = |seed: u64| {
        let mut cluster = Cluster::new(seed, 4, 3);
        cluster.guards = Guards { quorum_reads: false, ..ALL_GUARDS };
        cluster.run(3000);
        cluster.partition(1);
        cluster.run(PARTITION_MS);
        cluster.finish();
        !cluster.history.violations.is_empty()
    };
    assert!((1..=20).any(serves_old_config), "the simulation did not find the fault that the guard prevents");
}
