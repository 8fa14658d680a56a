//! Members replaced while the register is at work: the simulated world must not lose what was acknowledged.

use kernel::Rng;
use protocol::message::CoreMembership;

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
    world: World,
    rng: Rng,
    strategy: Strategy,
    stage: Stage,
    membership: Option<CoreMembership>,
    lost: usize,
    stays: usize,
}

/// The number of the machine that replaces the lost one.
const ADDED: usize = 3;

impl Replacement {
    fn new(seed: u64, strategy: Strategy) -> Replacement {
        let mut rng = Rng::new(seed ^ 0x7e57);
        let lost = 1 + rng.below(2) as usize;
        let (world, stays) = (World::new(seed, 3), 3 - lost);
        Replacement { world, rng, strategy, stage: Stage::BeforeLoss, membership: None, lost, stays }
    }

    fn is_unsafe(&self) -> bool {
        self.strategy == Strategy::Unsafe
    }

    fn propose(&mut self) {
        let is_quiet = matches!(self.stage, Stage::BeforeLoss | Stage::Done);
        if self.rng.below(12) == 0 && (is_quiet || self.rng.below(3) == 0) {
            let at = [0, self.stays, self.lost, ADDED][self.rng.below(4) as usize];
            if at < self.world.replicas.len() {
                self.world.propose(at);
            }
        }
    }

    fn advance(&mut self) {
        let stage = self.stage;
        match stage {
            Stage::BeforeLoss if self.world.now >= 2000 => self.begin(),
            Stage::AnnounceAddition if self.is_announced() => self.stage = Stage::RecommitAfterAddition,
            Stage::RecommitAfterAddition if self.is_recommitted() => {
                self.stage = Stage::AnnounceFinalMembers;
                self.membership = Some(self.world.change_members(vec![0, self.stays, ADDED], true));
            }
            Stage::AnnounceFinalMembers if self.is_announced() => self.stage = Stage::RecommitAfterFinalMembers,
            Stage::RecommitAfterFinalMembers if self.is_recommitted() => self.stage = Stage::Done,
            _ => {}
        }
    }

    fn begin(&mut self) {
        if !self.is_unsafe() {
            self.world.crash(self.lost, false);
        }
        self.world.add_replica();
        let members = match self.strategy {
            Strategy::AddThenRemove => vec![0, 1, 2, ADDED],
            Strategy::Exchange | Strategy::Unsafe => vec![0, self.stays, ADDED],
        };
        self.membership = Some(self.world.change_members(members, !self.is_unsafe()));
        self.stage = match self.strategy {
            Strategy::AddThenRemove => Stage::AnnounceAddition,
            Strategy::Exchange => Stage::AnnounceFinalMembers,
            Strategy::Unsafe => Stage::Done,
        };
        if self.is_unsafe() {
            // The old members do not learn of it: they still make a majority of their own.
            let cut = [(0, self.stays), (0, self.lost), (ADDED, self.stays), (ADDED, self.lost)];
            self.world.partitioned = cut.iter().flat_map(|(one, two)| [(*one, *two), (*two, *one)]).collect();
        }
    }

    fn is_announced(&mut self) -> bool {
        self.world.now.is_multiple_of(20) && self.world.announce(self.membership.as_ref().expect("a membership"))
    }

    fn is_recommitted(&mut self) -> bool {
        let version = self.membership.as_ref().expect("a membership").version;
        self.world.now.is_multiple_of(20) && self.world.try_recommit(version)
    }

    /// The new members tolerate the loss of one machine as the old ones did.
    fn lose_another(&mut self) {
        if !self.is_unsafe() && self.stage == Stage::Done && self.world.now == 9000 {
            self.world.crash(self.stays, false);
        }
        if self.world.now == 12_000 {
            self.world.restart(self.stays);
        }
    }
}

/// A member is lost for good, an empty one replaces it, and then another crashes. Returns the world and the body that
/// is committed at the end.
fn run_replacement(seed: u64, strategy: Strategy) -> (World, Vec<u8>) {
    let mut run = Replacement::new(seed, strategy);
    while run.world.now < 16_000 {
        run.world.step();
        run.propose();
        run.advance();
        run.lose_another();
    }
    assert!(run.is_unsafe() || run.stage == Stage::Done, "seed {seed}: stuck at stage {:?}", run.stage);
    let last = run.world.read_after_recovery();
    (run.world, last)
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
