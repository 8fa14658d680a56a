//! Replaces members while the register is in use. No acknowledged change may be lost.

use kernel::Rng;
use protocol::message::CoreMembership;

use super::tests::no_acknowledged_change_lost;
use super::Cluster;

/// The way in which a lost member is replaced.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    /// The new member is added, then the old one is removed.
    AddThenRemove,
    /// Both in a single change, under joint quorums.
    Replace,
    /// Both in a single change, without joint quorums, without notifying the old members and without committing the
    /// keys again.
    Unsafe,
}

/// The progress of a replacement.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    BeforeLoss,
    AnnounceAddition,
    RecommitAfterAddition,
    AnnounceFinalMembers,
    RecommitAfterFinalMembers,
    Done,
}

/// One run in which a member is replaced.
struct Replacement {
    cluster: Cluster,
    rng: Rng,
    strategy: Strategy,
    stage: Stage,
    membership: Option<CoreMembership>,
    lost: usize,
    staying: usize,
}

/// The number of the machine that replaces the lost one.
const ADDED: usize = 3;

impl Replacement {
    fn new(seed: u64, strategy: Strategy) -> Replacement {
        let mut rng = Rng::new(seed ^ 0x7e57);
        let lost = 1 + rng.below(2) as usize;
        let (cluster, staying) = (Cluster::new(seed, 3), 3 - lost);
        Replacement { cluster, rng, strategy, stage: Stage::BeforeLoss, membership: None, lost, staying }
    }

    fn is_unsafe(&self) -> bool {
        self.strategy == Strategy::Unsafe
    }

    fn propose(&mut self) {
        let no_change_in_progress = matches!(self.stage, Stage::BeforeLoss | Stage::Done);
        if self.rng.below(12) == 0 && (no_change_in_progress || self.rng.below(3) == 0) {
            let index = [0, self.staying, self.lost, ADDED][self.rng.below(4) as usize];
            if index < self.cluster.replicas.len() {
                self.cluster.propose(index);
            }
        }
    }

    fn advance(&mut self) {
        let stage = self.stage;
        match stage {
            Stage::BeforeLoss if self.cluster.now >= 2000 => self.begin(),
            Stage::AnnounceAddition if self.is_announced() => self.stage = Stage::RecommitAfterAddition,
            Stage::RecommitAfterAddition if self.is_recommitted() => {
                self.stage = Stage::AnnounceFinalMembers;
                self.membership = Some(self.cluster.change_members(vec![0, self.staying, ADDED], true));
            }
            Stage::AnnounceFinalMembers if self.is_announced() => self.stage = Stage::RecommitAfterFinalMembers,
            Stage::RecommitAfterFinalMembers if self.is_recommitted() => self.stage = Stage::Done,
            _ => {}
        }
    }

    fn begin(&mut self) {
        if !self.is_unsafe() {
            self.cluster.crash(self.lost, false);
        }
        self.cluster.add_replica();
        let members = match self.strategy {
            Strategy::AddThenRemove => vec![0, 1, 2, ADDED],
            Strategy::Replace | Strategy::Unsafe => vec![0, self.staying, ADDED],
        };
        self.membership = Some(self.cluster.change_members(members, !self.is_unsafe()));
        self.stage = match self.strategy {
            Strategy::AddThenRemove => Stage::AnnounceAddition,
            Strategy::Replace => Stage::AnnounceFinalMembers,
            Strategy::Unsafe => Stage::Done,
        };
        if self.is_unsafe() {
            // The old members do not learn the change: they still form a majority of the old membership.
            let cut_connections = [(0, self.staying), (0, self.lost), (ADDED, self.staying), (ADDED, self.lost)];
            self.cluster.partitioned =
                cut_connections.iter().flat_map(|(first, second)| [(*first, *second), (*second, *first)]).collect();
        }
    }

    fn is_announced(&mut self) -> bool {
        self.cluster.now.is_multiple_of(20)
            && self.cluster.announce(self.membership.as_ref().expect("the change has begun"))
    }

    fn is_recommitted(&mut self) -> bool {
        let version = self.membership.as_ref().expect("the change has begun").version;
        self.cluster.now.is_multiple_of(20) && self.cluster.try_recommit(version)
    }

    /// Crashes another member after the replacement, which the new members must tolerate, and restarts it later.
    fn crash_another(&mut self) {
        if !self.is_unsafe() && self.stage == Stage::Done && self.cluster.now == 9000 {
            self.cluster.crash(self.staying, false);
        }
        if self.cluster.now == 12_000 {
            self.cluster.restart(self.staying);
        }
    }
}

/// Loses a member permanently, replaces it by an empty one, and then crashes another. Returns the cluster and the body
/// that is committed at the end.
fn run_replacement(seed: u64, strategy: Strategy) -> (Cluster, Vec<u8>) {
    let mut run = Replacement::new(seed, strategy);
    while run.cluster.now < 16_000 {
        run.cluster.step();
        run.propose();
        run.advance();
        run.crash_another();
    }
    assert!(
        run.is_unsafe() || run.stage == Stage::Done,
        "seed {seed}: the replacement did not get past {:?}",
        run.stage
    );
    let final_body = run.cluster.read_after_recovery();
    (run.cluster, final_body)
}

#[test]
fn no_acknowledged_change_is_lost_when_a_member_is_added_and_then_one_removed() {
    let mut acknowledged = 0;
    for seed in 1..=40 {
        let (cluster, final_body) = run_replacement(seed, Strategy::AddThenRemove);
        assert!(no_acknowledged_change_lost(&cluster, &final_body), "seed {seed}");
        acknowledged += cluster.acknowledged.len();
    }
    assert!(acknowledged > 1000, "too few changes were acknowledged: {acknowledged}");
}

#[test]
fn no_acknowledged_change_is_lost_when_a_member_is_replaced_under_joint_quorums() {
    let mut acknowledged = 0;
    for seed in 1..=60 {
        let (cluster, final_body) = run_replacement(seed, Strategy::Replace);
        assert!(no_acknowledged_change_lost(&cluster, &final_body), "seed {seed}");
        acknowledged += cluster.acknowledged.len();
    }
    assert!(acknowledged > 1500, "too few changes were acknowledged: {acknowledged}");
}

#[test]
fn the_simulation_finds_a_replacement_without_joint_quorums() {
    let broken = (1..=60).any(|seed| {
        let (cluster, final_body) = run_replacement(seed, Strategy::Unsafe);
        !no_acknowledged_change_lost(&cluster, &final_body)
    });
    assert!(broken, "the simulation did not find the defect");
}
