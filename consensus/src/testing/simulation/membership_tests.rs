//! Members replaced while the register is at work: the simulated world must not lose what was acknowledged.

use kernel::clock::Rng;

use super::tests::nothing_lost;
use super::World;

/// How a lost member is replaced.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    /// The new one is added, then the old one removed.
    AddThenRemove,
    /// Both in one change, under joint quorums.
    Exchange,
    /// Both at once, without joint quorums, without notifying the old members or committing again.
    Unsafe,
}

/// A member is lost for good, an empty one replaces it, and then another crashes.
fn run_replacement(seed: u64, strategy: Strategy) -> (World, Vec<u8>) {
    let skips_recovery = strategy == Strategy::Unsafe;
    let mut world = World::new(seed, 3);
    let mut rng = Rng::new(seed ^ 0x7e57);
    let mut stage = 0;
    let mut membership = None;
    let lost = 1 + rng.below(2) as usize;
    let stays = 3 - lost;
    while world.now < 16_000 {
        world.step();
        if rng.below(12) == 0 && (stage == 0 || stage == 5 || rng.below(3) == 0) {
            let at = [0, stays, lost, 3][rng.below(4) as usize];
            if at < world.replicas.len() {
                world.propose(at);
            }
        }
        match stage {
            0 if world.now >= 2000 => {
                if !skips_recovery {
                    world.crash(lost, false);
                }
                world.add_replica();
                let list = if strategy == Strategy::AddThenRemove { vec![0, 1, 2, 3] } else { vec![0, stays, 3] };
                membership = Some(world.change_members(list, !skips_recovery));
                stage = match strategy {
                    Strategy::AddThenRemove => 1,
                    Strategy::Exchange => 3,
                    Strategy::Unsafe => 5,
                };
                if skips_recovery {
                    // The old members do not learn of it: they still make a majority of their own.
                    let partitioned = [(0, stays), (0, lost), (3, stays), (3, lost)];
                    world.partitioned =
                        partitioned.iter().flat_map(|(one, two)| [(*one, *two), (*two, *one)]).collect();
                }
            }
            1 | 3 if world.now.is_multiple_of(20) => {
                let known = membership.clone().expect("a membership");
                stage += u8::from(world.announce(&known));
            }
            2 | 4
                if world.now.is_multiple_of(20)
                    && world.try_recommit(membership.as_ref().expect("a membership").version) =>
            {
                stage += 1;
                if stage == 3 {
                    membership = Some(world.change_members(vec![0, stays, 3], true));
                }
            }
            _ => {}
        }
        // The new members tolerate the loss of one machine as the old ones did.
        if !skips_recovery && stage == 5 && world.now == 9000 {
            world.crash(stays, false);
        }
        if world.now == 12_000 {
            world.restart(stays);
        }
    }
    assert!(skips_recovery || stage == 5, "seed {seed}: stuck at stage {stage}");
    let last = world.read_after_recovery();
    (world, last)
}

#[test]
fn a_core_member_is_replaced_and_nothing_acknowledged_is_lost() {
    let mut acknowledged = 0;
    for seed in 1..=40 {
        let (world, last) = run_replacement(seed, Strategy::AddThenRemove);
        assert!(nothing_lost(&world, &last), "seed {seed}");
        acknowledged += world.acknowledged.len();
    }
    assert!(acknowledged > 1000, "the world must get work done: {acknowledged}");
}

#[test]
fn a_core_member_is_exchanged_under_joint_quorums_and_nothing_acknowledged_is_lost() {
    let mut acknowledged = 0;
    for seed in 1..=60 {
        let (world, last) = run_replacement(seed, Strategy::Exchange);
        assert!(nothing_lost(&world, &last), "seed {seed}");
        acknowledged += world.acknowledged.len();
    }
    assert!(acknowledged > 1500, "the world must get work done: {acknowledged}");
}

#[test]
fn the_simulation_finds_the_fault_when_members_are_swapped_at_once() {
    let broken = (1..=60).any(|seed| {
        let (world, last) = run_replacement(seed, Strategy::Unsafe);
        !nothing_lost(&world, &last)
    });
    assert!(broken, "a test that can't fail shows nothing");
}
