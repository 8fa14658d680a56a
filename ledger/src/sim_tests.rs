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
