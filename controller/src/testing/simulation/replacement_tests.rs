//! Core machines that are replaced, with a second loss as soon as the new machine has had time to catch up.

use consensus::quorum;
use kernel::Rng;

use super::{address, Cluster, Guards, ALL_GUARDS};

/// How long a new or restarted machine has to catch up before the next one may be lost, in milliseconds.
const CATCH_UP_MS: u64 = 4000;

/// How a machine is replaced.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Replacement {
    /// The machine fails; an empty one is added later.
    Lost,
    /// An empty machine is added first, then the old one is shut down.
    Planned,
}

/// Replaces two machines one after the other. Each time another machine loses power, and perhaps its disk, as early as
/// that is allowed. Returns whether the cluster was confirmed and acknowledged changes each time.
fn run(seed: u64, size: usize, replacement: Replacement, guards: Guards) -> (Cluster, bool) {
    let mut cluster = Cluster::new(seed, size, 3);
    cluster.guards = guards;
    let mut rng = Rng::new(seed ^ 0x5e7);
    let mut is_available = true;
    cluster.run(2000);
    for _ in 0..2 {
        let replaced = random_member(&cluster, &mut rng, &[]);
        replace(&mut cluster, replaced, replacement, &mut rng);
        let second = random_member(&cluster, &mut rng, &[replaced]);
        let wipe = rng.below(2) == 0;
        cluster.lose_power(second, wipe);
        let before = cluster.history.acknowledged();
        cluster.run(3000);
        is_available &= cluster.all_confirmed() && cluster.history.acknowledged() > before;
        cluster.start(second);
        cluster.run(CATCH_UP_MS);
        is_available &= cluster.all_confirmed();
    }
    if is_available {
        cluster.finish();
    }
    (cluster, is_available)
}

fn random_member(cluster: &Cluster, rng: &mut Rng, excluded: &[usize]) -> usize {
    let core = &cluster.nodes[cluster.live()[0]].acceptor.membership;
    let is_member = |index: &usize| quorum::is_member(core, &address(*index));
    let members: Vec<usize> =
        cluster.live().into_iter().filter(|index| !excluded.contains(index) && is_member(index)).collect();
    members[rng.below(members.len() as u64) as usize]
}

/// Replaces a machine, and returns once a second loss is allowed.
fn replace(cluster: &mut Cluster, replaced: usize, replacement: Replacement, rng: &mut Rng) {
    match replacement {
        Replacement::Lost => {
            cluster.remove(replaced);
            cluster.run(500 + rng.below(3500));
            cluster.add_machine();
            cluster.run(CATCH_UP_MS);
        }
        Replacement::Planned => {
            cluster.add_machine();
            // The old machine may be shut down at any time before the second loss.
            let delay = 500 + rng.below(CATCH_UP_MS - 500);
            cluster.run(delay);
            cluster.terminate(replaced);
            cluster.run(CATCH_UP_MS - delay);
        }
    }
}

fn assert_no_violations(replacement: Replacement) {
    let mut acknowledged = 0;
    for (seed, size) in (1..=10).flat_map(|seed| [(seed, 3), (seed, 5)]) {
        let (cluster, is_available) = run(seed, size, replacement, ALL_GUARDS);
        assert!(is_available, "seed {seed} of {size}, {replacement:?}: unavailable after a second loss");
        assert!(cluster.history.violations.is_empty(), "seed {seed} of {size}: {:?}", cluster.history.violations);
        acknowledged += cluster.history.acknowledged();
    }
    assert!(acknowledged > 500, "too few changes acknowledged: {acknowledged}");
}

#[test]
fn a_second_loss_right_after_an_unplanned_replacement_leaves_a_quorum() {
    assert_no_violations(Replacement::Lost);
}

#[test]
fn a_second_loss_right_after_a_planned_replacement_leaves_a_quorum() {
    assert_no_violations(Replacement::Planned);
}

#[test]
fn without_a_hand_over_a_second_loss_may_leave_no_quorum() {
    let guards = Guards { hand_over: false, ..ALL_GUARDS };
    let found_violation = (1..=20).any(|seed| !run(seed, 3, Replacement::Planned, guards).1);
    assert!(found_violation, "the simulation did not find the fault that the guard prevents");
}
