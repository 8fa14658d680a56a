//! Machines of the core replaced, and a second loss as soon as the new one has had its time.

use consensus::quorum;
use kernel::Rng;

use super::{address, Cluster, Guards, ALL_GUARDS};

/// How long a new or returned machine has until the next may be lost.
const SYNC_MS: u64 = 4000;

/// How a machine leaves for good.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// It dies; an empty one comes later.
    Lost,
    /// An empty one comes first, then it is told to end.
    Planned,
}

/// One machine after another is replaced, and each time another one loses power or its disk at the first
/// moment at which that may happen. Gives how often operators then got a change through in time.
fn run(seed: u64, size: usize, way: Way, guards: Guards) -> (Cluster, bool) {
    let mut cluster = Cluster::new(seed, size, 3);
    cluster.guards = guards;
    let mut chance = Rng::new(seed ^ 0x5e7);
    let mut serves = true;
    cluster.run(2000);
    for _ in 0..2 {
        let gone = pick(&cluster, &mut chance, &[]);
        replace(&mut cluster, gone, way, &mut chance);
        let second = pick(&cluster, &mut chance, &[gone]);
        let wipe = chance.below(2) == 0;
        cluster.lose_power(second, wipe);
        let before = cluster.history.acknowledged();
        cluster.run(3000);
        serves &= cluster.all_confirmed() && cluster.history.acknowledged() > before;
        cluster.start(second);
        cluster.run(SYNC_MS);
        serves &= cluster.all_confirmed();
    }
    if serves {
        cluster.finish();
    }
    (cluster, serves)
}

fn pick(cluster: &Cluster, chance: &mut Rng, but: &[usize]) -> usize {
    let core = &cluster.nodes[cluster.live()[0]].acceptor.membership;
    let member = |at: &usize| quorum::is_member(core, &address(*at));
    let list: Vec<usize> = cluster.live().into_iter().filter(|at| !but.contains(at) && member(at)).collect();
    list[chance.below(list.len() as u64) as usize]
}

/// Returns once the second loss is allowed.
fn replace(cluster: &mut Cluster, gone: usize, way: Way, chance: &mut Rng) {
    match way {
        Way::Lost => {
            cluster.remove(gone);
            cluster.run(500 + chance.below(3500));
            cluster.add_machine();
            cluster.run(SYNC_MS);
        }
        Way::Planned => {
            cluster.add_machine();
            // The old one may be told at any time, at the latest right before the second loss.
            let stays = 500 + chance.below(SYNC_MS - 500);
            cluster.run(stays);
            cluster.terminate(gone);
            cluster.run(SYNC_MS - stays);
        }
    }
}

fn holds(way: Way) {
    let mut acknowledged = 0;
    for (seed, size) in (1..=10).flat_map(|seed| [(seed, 3), (seed, 5)]) {
        let (cluster, serves) = run(seed, size, way, ALL_GUARDS);
        assert!(serves, "seed {seed} of {size}, {way:?}: no quorum after a second loss");
        assert!(cluster.history.violations.is_empty(), "seed {seed} of {size}: {:?}", cluster.history.violations);
        acknowledged += cluster.history.acknowledged();
    }
    assert!(acknowledged > 500, "operators must get work done: {acknowledged}");
}

#[test]
fn a_second_loss_right_after_a_replacement_leaves_a_quorum() {
    holds(Way::Lost);
}

#[test]
fn a_second_loss_right_after_a_planned_replacement_leaves_a_quorum() {
    holds(Way::Planned);
}

#[test]
fn without_a_hand_over_a_second_loss_may_leave_none() {
    let guards = Guards { hand_over: false, ..ALL_GUARDS };
    let broken = (1..=20).any(|seed| !run(seed, 3, Way::Planned, guards).1);
    assert!(broken, "a simulation that can't fail shows nothing");
}
