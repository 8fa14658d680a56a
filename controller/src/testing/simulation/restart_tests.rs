//! A storm of changes while one member is cut off and all others are restarted one after the other.

use kernel::Rng;

use super::{Cluster, ALL_GUARDS};

/// Gives whether changes went on and all were confirmed a while after everything was back.
fn run(seed: u64, size: usize) -> (Cluster, bool) {
    let mut cluster = Cluster::new(seed, size, 8);
    cluster.guards = ALL_GUARDS;
    cluster.max_pause_ms = 20;
    let mut chance = Rng::new(seed ^ 0x4e57);
    cluster.run(2000);
    let cut = chance.below(size as u64) as usize;
    cluster.isolate(cut);
    cluster.run(2000 + chance.below(6000));
    cluster.lose_power(cut, false);
    cluster.run(200 + chance.below(800));
    cluster.start(cut);
    cluster.run(500 + chance.below(4000));
    for at in (0..size).filter(|at| *at != cut) {
        cluster.lose_power(at, false);
        cluster.run(100 + chance.below(900));
        cluster.start(at);
        cluster.run(chance.below(1500));
    }
    cluster.run(chance.below(4000));
    cluster.network.heal();
    cluster.run(5000);
    let before = cluster.history.acknowledged();
    cluster.run(4000);
    let serves = cluster.all_confirmed() && cluster.history.acknowledged() > before;
    if serves {
        cluster.finish();
    }
    (cluster, serves)
}

#[test]
fn changes_go_on_after_a_cut_and_restarts_of_all_members() {
    for (seed, size) in (1..=12).flat_map(|seed| [(seed, 3), (seed, 6)]) {
        let (cluster, serves) = run(seed, size);
        assert!(serves, "seed {seed} of {size}: the control state does not go on");
        assert!(cluster.history.violations.is_empty(), "seed {seed} of {size}: {:?}", cluster.history.violations);
    }
}
