//! Members replaced while the register is at work: the simulated world must not lose what was acknowledged.

use kernel::clock::Rng;

use super::tests::sound;
use super::World;

/// How a member that is gone is replaced.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// The new one is added, then the old one removed.
    AddThenRemove,
    /// Both in one change, under joint quorums.
    Exchange,
    /// Both at once, without joint quorums, without telling the old members or committing again.
    Hasty,
}

/// A member is gone for good, an empty one takes its place, and then another falls.
fn replaced(seed: u64, way: Way) -> (World, Vec<u8>) {
    let hasty = way == Way::Hasty;
    let mut world = World::new(seed, 3);
    let mut chance = Rng::new(seed ^ 0x7e57);
    let mut stage = 0;
    let mut core = None;
    let gone = 1 + chance.below(2) as usize;
    let stays = 3 - gone;
    while world.now < 16_000 {
        world.step();
        if chance.below(12) == 0 && (stage == 0 || stage == 5 || chance.below(3) == 0) {
            let at = [0, stays, gone, 3][chance.below(4) as usize];
            if at < world.seats.len() {
                world.propose(at);
            }
        }
        match stage {
            0 if world.now >= 2000 => {
                if !hasty {
                    world.fall(gone, false);
                }
                world.join();
                let list = if way == Way::AddThenRemove { vec![0, 1, 2, 3] } else { vec![0, stays, 3] };
                core = Some(world.change(list, !hasty));
                stage = match way {
                    Way::AddThenRemove => 1,
                    Way::Exchange => 3,
                    Way::Hasty => 5,
                };
                if hasty {
                    // The old members do not hear of it: they still make a majority of their own.
                    let apart = [(0, stays), (0, gone), (3, stays), (3, gone)];
                    world.cut = apart.iter().flat_map(|(one, two)| [(*one, *two), (*two, *one)]).collect();
                }
            }
            1 | 3 if world.now.is_multiple_of(20) => {
                let known = core.clone().expect("a core");
                stage += u8::from(world.spread(&known));
            }
            2 | 4 if world.now.is_multiple_of(20) && world.renewed(core.as_ref().expect("a core").version) => {
                stage += 1;
                if stage == 3 {
                    core = Some(world.change(vec![0, stays, 3], true));
                }
            }
            _ => {}
        }
        // The new core bears the loss of one machine as the old one did.
        if !hasty && stage == 5 && world.now == 9000 {
            world.fall(stays, false);
        }
        if world.now == 12_000 {
            world.rise(stays);
        }
    }
    assert!(hasty || stage == 5, "seed {seed}: stuck at stage {stage}");
    let last = world.settle();
    (world, last)
}

#[test]
fn a_core_machine_is_replaced_and_nothing_acknowledged_is_lost() {
    let mut acked = 0;
    for seed in 1..=40 {
        let (world, last) = replaced(seed, Way::AddThenRemove);
        assert!(sound(&world, &last), "seed {seed}");
        acked += world.acked.len();
    }
    assert!(acked > 1000, "the world must get work done: {acked}");
}

#[test]
fn a_core_machine_is_exchanged_under_joint_quorums_and_nothing_acknowledged_is_lost() {
    let mut acked = 0;
    for seed in 1..=60 {
        let (world, last) = replaced(seed, Way::Exchange);
        assert!(sound(&world, &last), "seed {seed}");
        acked += world.acked.len();
    }
    assert!(acked > 1500, "the world must get work done: {acked}");
}

#[test]
fn the_world_shows_the_fault_when_members_are_swapped_at_once() {
    let broken = (1..=60).any(|seed| {
        let (world, last) = replaced(seed, Way::Hasty);
        !sound(&world, &last)
    });
    assert!(broken, "a test that can't fail shows nothing");
}
