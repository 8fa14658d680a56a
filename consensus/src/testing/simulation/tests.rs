//! Runs of the simulated world. Every body is "N/owner.round", N counting the changes before it, so
//! a lost acknowledgement shows as a count that does not rise.

use kernel::Rng;
use protocol::message::{CoreMembership, Member};

use super::{count, ip, World};
use crate::acceptor::Acceptor;
use crate::quorum;

/// Twenty seconds of faults, then none. Returns the world and the body that is committed at the end.
fn run(seed: u64, size: usize, wipes: bool, skips_recovery: bool) -> (World, Vec<u8>) {
    let mut world = World::new(seed, size);
    world.skips_recovery = skips_recovery;
    let mut rng = Rng::new(seed ^ 0x51ed);
    let mut down: Option<(usize, u64)> = None;
    while world.now < 20_000 {
        world.step();
        if rng.below(25) == 0 {
            world.propose(rng.below(size as u64) as usize);
        }
        // One machine at a time is lost, and counts as lost until it has had time to catch up.
        match down {
            None if rng.below(900) == 0 => {
                let at = rng.below(size as u64) as usize;
                world.crash(at, wipes && rng.below(2) == 0);
                down = Some((at, world.now + 100 + rng.below(800)));
            }
            Some((at, until)) if world.now == until => world.restart(at),
            Some((_, until)) if world.now > until + 3500 => down = None,
            _ => {}
        }
        if rng.below(700) == 0 {
            let (from, to) = (rng.below(size as u64) as usize, rng.below(size as u64) as usize);
            world.partitioned = if from == to { Vec::new() } else { vec![(from, to)] };
        }
    }
    let last = world.read_after_recovery();
    (world, last)
}

/// Nothing acknowledged is lost, and no two acknowledged changes share a position in the history.
pub fn nothing_lost(world: &World, last: &[u8]) -> bool {
    let mut counts: Vec<u64> = world.acknowledged.iter().map(|body| count(body)).collect();
    let last_count = count(last);
    let top = counts.iter().copied().max().unwrap_or(0);
    counts.sort_unstable();
    let unique = counts.windows(2).all(|pair| pair[0] < pair[1]);
    unique && last_count >= top
}

#[test]
fn nothing_acknowledged_is_lost_under_loss_crashes_and_partitions() {
    let mut acknowledged = 0;
    for seed in 1..=60 {
        let (world, last) = run(seed, 3, false, false);
        assert!(nothing_lost(&world, &last), "seed {seed}: {:?}", world.acknowledged.len());
        acknowledged += world.acknowledged.len();
    }
    assert!(acknowledged > 2000, "the world must get work done: {acknowledged}");
}

#[test]
fn a_wiped_disk_does_not_vote_on_what_it_forgot() {
    let mut acknowledged = 0;
    for seed in 1..=60 {
        let (world, last) = run(seed, 3, true, false);
        assert!(nothing_lost(&world, &last), "seed {seed}");
        acknowledged += world.acknowledged.len();
    }
    assert!(acknowledged > 1500, "the world must get work done: {acknowledged}");
}

#[test]
fn the_simulation_finds_the_fault_when_a_wiped_disk_votes_at_once() {
    let broken = (1..=300).any(|seed| {
        let (world, last) = run(seed, 3, true, true);
        !nothing_lost(&world, &last)
    });
    assert!(broken, "a test that can't fail shows nothing");
}

#[test]
fn five_members_hold_as_three_do() {
    for seed in 1..=20 {
        let (world, last) = run(seed, 5, true, false);
        assert!(nothing_lost(&world, &last), "seed {seed}");
    }
}

/// A run in which two machines at a time lose their disks.
struct DoubleLosses {
    world: World,
    /// The body that is committed at the end.
    last: Vec<u8>,
    /// After each loss every acceptor voted again in time.
    recovered: bool,
}

/// Again and again two machines are lost at once, wiped; at times all others lose power with them.
fn run_with_double_losses(seed: u64, size: usize, skips_recovery: bool) -> DoubleLosses {
    let mut world = World::new(seed, size);
    world.skips_recovery = skips_recovery;
    let mut rng = Rng::new(seed ^ 0x2f2f);
    let mut back = 0;
    let mut recovered = true;
    while world.now < 24_000 {
        world.step();
        if rng.below(25) == 0 {
            world.propose(rng.below(size as u64) as usize);
        }
        // No faults for a while before the next loss.
        if world.now.is_multiple_of(6000) && world.now < 20_000 {
            let one = rng.below(size as u64) as usize;
            let two = (one + 1 + rng.below(size as u64 - 1) as usize) % size;
            let all_crash = rng.below(2) == 0;
            for at in 0..size {
                if at == one || at == two {
                    world.crash(at, true);
                } else if all_crash {
                    world.crash(at, false);
                }
            }
            back = world.now + 50 + rng.below(500);
        }
        if world.now == back {
            (0..size).for_each(|at| world.restart(at));
        }
        if back > 0 && world.now == back + 4500 {
            recovered &= world.all_voting();
        }
    }
    let last = world.read_after_recovery();
    DoubleLosses { world, last, recovered }
}

#[test]
fn two_wiped_at_once_come_back_without_waiting_for_each_other() {
    let mut acknowledged = 0;
    for (seed, size) in (1..=24).flat_map(|seed| [(seed, 5), (seed, 6), (seed, 8)]) {
        let DoubleLosses { world, last, recovered } = run_with_double_losses(seed, size, false);
        assert!(nothing_lost(&world, &last), "seed {seed} of {size}");
        assert!(recovered, "seed {seed} of {size}: a wiped acceptor did not recover");
        acknowledged += world.acknowledged.len();
    }
    assert!(acknowledged > 1500, "the world must get work done: {acknowledged}");
}

#[test]
fn the_simulation_finds_the_fault_when_two_wiped_disks_vote_at_once() {
    let broken = (1..=60).any(|seed| {
        let DoubleLosses { world, last, .. } = run_with_double_losses(seed, 5, true);
        !nothing_lost(&world, &last)
    });
    assert!(broken, "a test that can't fail shows nothing");
}

#[test]
fn enough_means_that_no_majority_goes_unseen() {
    for size in 2..=9usize {
        let list: Vec<Member> = (0..size).map(|at| Member { ip: ip(at), zone: String::new() }).collect();
        let mut acceptor = Acceptor::new(&ip(0));
        acceptor.membership = CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        for mask in 0..(1u32 << size) {
            let read: Vec<String> = (1..size).filter(|at| mask & (1 << at) != 0).map(ip).collect();
            // The largest set without any that was read: could it have been a majority?
            let unseen = size - read.len();
            assert_eq!(
                acceptor.has_enough_reads(&read),
                !read.is_empty() && unseen < quorum::majority(size),
                "{size} {read:?}"
            );
        }
    }
}
