//! Runs of the simulated cluster. Every body is "N/owner.round", where N is the number of changes up to it. A lost
//! change shows as a number that does not increase.

use kernel::Rng;
use protocol::message::{CoreMembership, Member};

use super::{change_count, ip, Cluster};
use crate::acceptor::Acceptor;
use crate::quorum;

/// Runs twenty seconds with faults, then without. Returns the cluster and the body that is committed at the end.
fn run(seed: u64, size: usize, wipes: bool, skips_recovery: bool) -> (Cluster, Vec<u8>) {
    let mut cluster = Cluster::new(seed, size);
    cluster.skips_recovery = skips_recovery;
    let mut rng = Rng::new(seed ^ 0x51ed);
    let mut crashed: Option<(usize, u64)> = None;
    while cluster.now < 20_000 {
        cluster.step();
        if rng.below(25) == 0 {
            cluster.propose(rng.below(size as u64) as usize);
        }
        // One machine fails at a time, and the next only after this one has had time to catch up.
        match crashed {
            None if rng.below(900) == 0 => {
                let index = rng.below(size as u64) as usize;
                cluster.crash(index, wipes && rng.below(2) == 0);
                crashed = Some((index, cluster.now + 100 + rng.below(800)));
            }
            Some((index, until)) if cluster.now == until => cluster.restart(index),
            Some((_, until)) if cluster.now > until + 3500 => crashed = None,
            _ => {}
        }
        if rng.below(700) == 0 {
            let (from, to) = (rng.below(size as u64) as usize, rng.below(size as u64) as usize);
            cluster.partitioned = if from == to { Vec::new() } else { vec![(from, to)] };
        }
    }
    let final_body = cluster.read_after_recovery();
    (cluster, final_body)
}

/// Returns whether no acknowledged change is lost and no two have the same number in the history.
pub fn no_acknowledged_change_lost(cluster: &Cluster, final_body: &[u8]) -> bool {
    let mut counts: Vec<u64> = cluster.acknowledged.iter().map(|body| change_count(body)).collect();
    let final_count = change_count(final_body);
    let highest = counts.iter().copied().max().unwrap_or(0);
    counts.sort_unstable();
    let unique = counts.windows(2).all(|pair| pair[0] < pair[1]);
    unique && final_count >= highest
}

#[test]
fn no_acknowledged_change_is_lost_under_message_loss_crashes_and_partitions() {
    let mut acknowledged = 0;
    for seed in 1..=60 {
        let (cluster, final_body) = run(seed, 3, false, false);
        assert!(no_acknowledged_change_lost(&cluster, &final_body), "seed {seed}: {:?}", cluster.acknowledged.len());
        acknowledged += cluster.acknowledged.len();
    }
    assert!(acknowledged > 2000, "too few changes were acknowledged: {acknowledged}");
}

#[test]
fn no_acknowledged_change_is_lost_when_disks_are_wiped() {
    let mut acknowledged = 0;
    for seed in 1..=60 {
        let (cluster, final_body) = run(seed, 3, true, false);
        assert!(no_acknowledged_change_lost(&cluster, &final_body), "seed {seed}");
        acknowledged += cluster.acknowledged.len();
    }
    assert!(acknowledged > 1500, "too few changes were acknowledged: {acknowledged}");
}

#[test]
fn the_simulation_finds_a_wiped_acceptor_that_votes_at_once() {
    let broken = (1..=300).any(|seed| {
        let (cluster, final_body) = run(seed, 3, true, true);
        !no_acknowledged_change_lost(&cluster, &final_body)
    });
    assert!(broken, "the simulation did not find the defect");
}

#[test]
fn no_acknowledged_change_is_lost_with_five_members() {
    for seed in 1..=20 {
        let (cluster, final_body) = run(seed, 5, true, false);
        assert!(no_acknowledged_change_lost(&cluster, &final_body), "seed {seed}");
    }
}

/// The result of a run in which two machines at a time lose their disks.
struct DoubleLosses {
    cluster: Cluster,
    /// The body that is committed at the end.
    final_body: Vec<u8>,
    /// Whether every acceptor voted again in time after each loss.
    recovered: bool,
}

/// Repeatedly wipes two machines at once; in half of the cases all others lose power at the same time.
fn run_with_double_losses(seed: u64, size: usize, skips_recovery: bool) -> DoubleLosses {
    let mut cluster = Cluster::new(seed, size);
    cluster.skips_recovery = skips_recovery;
    let mut rng = Rng::new(seed ^ 0x2f2f);
    let mut restart_at = 0;
    let mut recovered = true;
    while cluster.now < 24_000 {
        cluster.step();
        if rng.below(25) == 0 {
            cluster.propose(rng.below(size as u64) as usize);
        }
        // The interval leaves time for recovery before the next loss.
        if cluster.now.is_multiple_of(6000) && cluster.now < 20_000 {
            let first = rng.below(size as u64) as usize;
            let second = (first + 1 + rng.below(size as u64 - 1) as usize) % size;
            let all_crash = rng.below(2) == 0;
            for index in 0..size {
                if index == first || index == second {
                    cluster.crash(index, true);
                } else if all_crash {
                    cluster.crash(index, false);
                }
            }
            restart_at = cluster.now + 50 + rng.below(500);
        }
        if cluster.now == restart_at {
            (0..size).for_each(|index| cluster.restart(index));
        }
        if restart_at > 0 && cluster.now == restart_at + 4500 {
            recovered &= cluster.all_voting();
        }
    }
    let final_body = cluster.read_after_recovery();
    DoubleLosses { cluster, final_body, recovered }
}

#[test]
fn two_acceptors_wiped_at_once_recover_without_waiting_for_each_other() {
    let mut acknowledged = 0;
    for (seed, size) in (1..=24).flat_map(|seed| [(seed, 5), (seed, 6), (seed, 8)]) {
        let DoubleLosses { cluster, final_body, recovered } = run_with_double_losses(seed, size, false);
        assert!(no_acknowledged_change_lost(&cluster, &final_body), "seed {seed} of {size}");
        assert!(recovered, "seed {seed} of {size}: a wiped acceptor did not recover");
        acknowledged += cluster.acknowledged.len();
    }
    assert!(acknowledged > 1500, "too few changes were acknowledged: {acknowledged}");
}

#[test]
fn the_simulation_finds_two_wiped_acceptors_that_vote_at_once() {
    let broken = (1..=60).any(|seed| {
        let DoubleLosses { cluster, final_body, .. } = run_with_double_losses(seed, 5, true);
        !no_acknowledged_change_lost(&cluster, &final_body)
    });
    assert!(broken, "the simulation did not find the defect");
}

#[test]
fn has_enough_reads_returns_true_once_every_majority_includes_a_read_acceptor() {
    for size in 2..=9usize {
        let list: Vec<Member> = (0..size).map(|index| Member { ip: ip(index), zone: String::new() }).collect();
        let mut acceptor = Acceptor::new(&ip(0));
        acceptor.membership = CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        for mask in 0..(1u32 << size) {
            let read: Vec<String> = (1..size).filter(|index| mask & (1 << index) != 0).map(ip).collect();
            // The acceptors that were not read must not form a majority.
            let not_read = size - read.len();
            assert_eq!(
                acceptor.has_enough_reads(&read),
                !read.is_empty() && not_read < quorum::majority(size),
                "{size} {read:?}"
            );
        }
    }
}
