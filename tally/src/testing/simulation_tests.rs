//! Long cuts, cuts inside cuts, losses while the sides are apart, lost disks: seeded runs, and defects that they find.

use super::simulation::{Defect, World};
use kernel::Rng;

/// Rounds without a fault after which everything acknowledged is to be read everywhere: 3.5 s.
const CALM_ROUNDS: usize = 10;

/// One run: phases of faults and calls, each followed by a calm time. Returns how many calls were acknowledged.
fn run(seed: u64, defect: Defect) -> Result<usize, String> {
    let mut world = World::new(seed, defect);
    let mut schedule = Rng::new(seed ^ 0x5eed);
    let mut below = |limit: u64| schedule.next_u64() % limit;
    (0..CALM_ROUNDS).for_each(|_| world.round());
    for _ in 0..8 {
        for _ in 0..below(40) {
            match below(12) {
                0 | 1 => world.cut(),
                2 => world.heal(),
                3 => world.lose(false),
                4 => world.restore(),
                5 | 6 => world.seal(),
                _ => {}
            }
            (0..below(6)).for_each(|_| world.call());
            world.round();
            world.check()?;
        }
        world.heal();
        world.restore();
        (0..4 * CALM_ROUNDS).for_each(|_| world.round());
        world.check_calm()?;
        // Outside cuts a loss that is to be borne may come right after an acknowledgement.
        (0..5).for_each(|_| world.call());
        (0..below(3)).for_each(|_| world.round());
        world.lose(true);
        (0..below(5)).for_each(|_| world.round());
        world.restore();
        for _ in 0..CALM_ROUNDS {
            world.check()?;
            world.round();
        }
        world.check_calm()?;
    }
    Ok(world.acknowledged())
}

#[test]
fn nothing_acknowledged_is_lost_and_nothing_counts_twice() {
    let mut acknowledged = 0;
    for seed in 1..=150 {
        acknowledged += run(seed, Defect::None).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
    assert!(acknowledged > 30_000, "the runs exercise it: {acknowledged}");
}

#[test]
fn each_defect_is_found() {
    for defect in [
        Defect::AcknowledgesAlone,
        Defect::ForgetsKeys,
        Defect::AnswersUninformed,
        Defect::SendsBeforeSync,
        Defect::ForgetsSealedKeys,
        Defect::SendsDigestsAsKeys,
        Defect::RestoresSealedAlone,
    ] {
        let found = (1..=40).filter(|seed| run(*seed, defect).is_err()).count();
        assert!(found > 0, "{defect:?}");
    }
}
