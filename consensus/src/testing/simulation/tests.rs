//! Runs of the simulated world. Every body is "N/owner.round", N counting the changes before it, so
//! a lost acknowledgement shows as a count that does not rise.

use kernel::clock::Rng;
use protocol::message::{CoreMembership, Member};

use super::{count, ip, World};
use crate::acceptor::Acceptor;
use crate::quorum;

/// Ten seconds of trouble, then quiet. Gives the world and what it holds at the end.
fn run(seed: u64, size: usize, wipes: bool, hasty: bool) -> (World, Vec<u8>) {
    let mut world = World::new(seed, size);
    world.hasty = hasty;
    let mut chance = Rng::new(seed ^ 0x51ed);
    let mut down: Option<(usize, u64)> = None;
    while world.now < 20_000 {
        world.step();
        if chance.below(25) == 0 {
            world.propose(chance.below(size as u64) as usize);
        }
        // One machine at a time is lost, and counts as lost until it has had time to catch up.
        match down {
            None if chance.below(900) == 0 => {
                let at = chance.below(size as u64) as usize;
                world.fall(at, wipes && chance.below(2) == 0);
                down = Some((at, world.now + 100 + chance.below(800)));
            }
            Some((at, until)) if world.now == until => world.rise(at),
            Some((_, until)) if world.now > until + 3500 => down = None,
            _ => {}
        }
        if chance.below(700) == 0 {
            let (from, to) = (chance.below(size as u64) as usize, chance.below(size as u64) as usize);
            world.cut = if from == to { Vec::new() } else { vec![(from, to)] };
        }
    }
    let last = world.settle();
    (world, last)
}

/// Nothing acknowledged is lost, and no two acknowledged changes share a place in the line.
pub fn sound(world: &World, last: &[u8]) -> bool {
    let mut counts: Vec<u64> = world.acked.iter().map(|body| count(body)).collect();
    let held = count(last);
    let top = counts.iter().copied().max().unwrap_or(0);
    counts.sort_unstable();
    let unique = counts.windows(2).all(|pair| pair[0] < pair[1]);
    unique && held >= top
}

#[test]
fn nothing_acknowledged_is_lost_under_loss_crash_and_cuts() {
    let mut acked = 0;
    for seed in 1..=60 {
        let (world, last) = run(seed, 3, false, false);
        assert!(sound(&world, &last), "seed {seed}: {:?}", world.acked.len());
        acked += world.acked.len();
    }
    assert!(acked > 2000, "the world must get work done: {acked}");
}

#[test]
fn a_wiped_disk_does_not_vote_on_what_it_forgot() {
    let mut acked = 0;
    for seed in 1..=60 {
        let (world, last) = run(seed, 3, true, false);
        assert!(sound(&world, &last), "seed {seed}");
        acked += world.acked.len();
    }
    assert!(acked > 1500, "the world must get work done: {acked}");
}

#[test]
fn the_world_shows_the_fault_when_a_wiped_disk_votes_at_once() {
    let broken = (1..=300).any(|seed| {
        let (world, last) = run(seed, 3, true, true);
        !sound(&world, &last)
    });
    assert!(broken, "a test that can't fail shows nothing");
}

#[test]
fn five_members_hold_as_three_do() {
    for seed in 1..=20 {
        let (world, last) = run(seed, 5, true, false);
        assert!(sound(&world, &last), "seed {seed}");
    }
}

/// Again and again two machines are lost at once, wiped; at times all others lose power with them.
fn twice(seed: u64, size: usize, hasty: bool) -> (World, Vec<u8>, bool) {
    let mut world = World::new(seed, size);
    world.hasty = hasty;
    let mut chance = Rng::new(seed ^ 0x2f2f);
    let mut back = 0;
    let mut whole = true;
    while world.now < 24_000 {
        world.step();
        if chance.below(25) == 0 {
            world.propose(chance.below(size as u64) as usize);
        }
        // All calm again, as the rules have it, before the next loss.
        if world.now.is_multiple_of(6000) && world.now < 20_000 {
            let one = chance.below(size as u64) as usize;
            let two = (one + 1 + chance.below(size as u64 - 1) as usize) % size;
            let dark = chance.below(2) == 0;
            for at in 0..size {
                if at == one || at == two {
                    world.fall(at, true);
                } else if dark {
                    world.fall(at, false);
                }
            }
            back = world.now + 50 + chance.below(500);
        }
        if world.now == back {
            (0..size).for_each(|at| world.rise(at));
        }
        if back > 0 && world.now == back + 4500 {
            whole &= world.all_able();
        }
    }
    let last = world.settle();
    (world, last, whole)
}

#[test]
fn two_wiped_at_once_come_back_without_waiting_for_each_other() {
    let mut acked = 0;
    for (seed, size) in (1..=24).flat_map(|seed| [(seed, 5), (seed, 6), (seed, 8)]) {
        let (world, last, whole) = twice(seed, size, false);
        assert!(sound(&world, &last), "seed {seed} of {size}");
        assert!(whole, "seed {seed} of {size}: a wiped voter stayed mute");
        acked += world.acked.len();
    }
    assert!(acked > 1500, "the world must get work done: {acked}");
}

#[test]
fn the_world_shows_the_fault_when_two_wiped_disks_vote_at_once() {
    let broken = (1..=60).any(|seed| {
        let (world, last, _) = twice(seed, 5, true);
        !sound(&world, &last)
    });
    assert!(broken, "a test that can't fail shows nothing");
}

#[test]
fn enough_means_that_no_majority_goes_unseen() {
    for size in 2..=9usize {
        let list: Vec<Member> = (0..size).map(|at| Member { ip: ip(at), zone: String::new() }).collect();
        let mut voter = Acceptor::new(&ip(0));
        voter.membership = CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        for mask in 0..(1u32 << size) {
            let read: Vec<String> = (1..size).filter(|at| mask & (1 << at) != 0).map(ip).collect();
            // The largest set without any that was read: could it have been a majority?
            let unseen = size - read.len();
            assert_eq!(
                voter.has_enough_reads(&read),
                !read.is_empty() && unseen < quorum::majority(size),
                "{size} {read:?}"
            );
        }
    }
}
