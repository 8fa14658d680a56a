//! Runs of the simulated world. Every body is "N/owner.round", N counting the changes before it, so
//! a lost acknowledgement shows as a count that does not rise.

/// Ten seconds of trouble, then quiet. Gives the world and what it holds at the end.
fn run(seed: u64, size: usize, wipes: bool, hasty: bool) -> (super::World, Vec<u8>) {
    let mut world = super::World::new(seed, size);
    world.hasty = hasty;
    let mut chance = kernel::clock::Dice::new(seed ^ 0x51ed);
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
fn sound(world: &super::World, last: &[u8]) -> bool {
    let mut counts: Vec<u64> = world.acked.iter().map(|body| super::count(body)).collect();
    let held = super::count(last);
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

/// A member is gone for good, an empty one takes its place, and then another falls. With `hasty` the
/// members are swapped at once, without telling a majority of the old ones or committing again.
fn replaced(seed: u64, hasty: bool) -> (super::World, Vec<u8>) {
    let mut world = super::World::new(seed, 3);
    let mut chance = kernel::clock::Dice::new(seed ^ 0x7e57);
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
                core = Some(world.change(if hasty { vec![0, stays, 3] } else { vec![0, 1, 2, 3] }));
                stage = if hasty { 5 } else { 1 };
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
            2 | 4 if world.now.is_multiple_of(20) && world.renewed(core.as_ref().expect("a core").stamp) => {
                stage += 1;
                if stage == 3 {
                    core = Some(world.change(vec![0, stays, 3]));
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
        let (world, last) = replaced(seed, false);
        assert!(sound(&world, &last), "seed {seed}");
        acked += world.acked.len();
    }
    assert!(acked > 1000, "the world must get work done: {acked}");
}

#[test]
fn the_world_shows_the_fault_when_members_are_swapped_at_once() {
    let broken = (1..=60).any(|seed| {
        let (world, last) = replaced(seed, true);
        !sound(&world, &last)
    });
    assert!(broken, "a test that can't fail shows nothing");
}
