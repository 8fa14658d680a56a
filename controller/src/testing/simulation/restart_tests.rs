//! Continuous changes while one member is isolated and all others are restarted one after the other.

use kernel::Rng;

use super::{Cluster, ALL_GUARDS};

/// Returns whether changes continued and all controllers were confirmed some time after the last fault.
fn run(seed: u64, size: usize) -> (Cluster, bool) {
    let mut cluster = Cluster::new(seed, size, 8);
    cluster.guards = ALL_GUARDS;
    cluster.max_think_time_ms = 20;
    let mut rng = Rng::new(seed ^ 0x4e57);
    cluster.run(2000);
    let isolated = rng.below(size as u64) as usize;
    cluster.isolate(isolated);
    cluster.run(2000 + rng.below(6000));
    cluster.lose_power(isolated, false);
    cluster.run(200 + rng.below(800));
    cluster.start(isolated);
    cluster.run(500 + rng.below(4000));
    for index in (0..size).filter(|index| *index != isolated) {
        cluster.lose_power(index, false);
        cluster.run(100 + rng.below(900));
        cluster.start(index);
        cluster.run(rng.below(1500));
    }
    cluster.run(rng.below(4000));
    cluster.network.heal();
    cluster.run(5000);
    let before = cluster.history.acknowledged();
    cluster.run(4000);
    let is_available = cluster.all_confirmed() && cluster.history.acknowledged() > before;
    if is_available {
        cluster.finish();
    }
    (cluster, is_available)
}

#[test]
fn changes_continue_after_an_isolation_and_restarts_of_all_members() {
    for (seed, size) in (1..=12).flat_map(|seed| [(seed, 3), (seed, 6)]) {
        let (cluster, is_available) = run(seed, size);
        assert!(is_available, "seed {seed} of {size}: no changes after the faults ended");
        assert!(cluster.history.violations.is_empty(), "seed {seed} of {size}: {:?}", cluster.history.violations);
    }
}
