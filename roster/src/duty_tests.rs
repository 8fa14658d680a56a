//! Keepers that are cut off, freeze, fall and wake, in virtual time: no two holders of a duty act within
//! a lease of each other, and epochs only rise.

const LEASE: u64 = 3000;
const SURE: u64 = 1100;
const BEAT: u64 = 350;

#[derive(Clone)]
struct Keeper {
    name: String,
    /// No beat, no look and no act before then.
    asleep_until: u64,
    cut_until: u64,
    heard: [u64; 3],
    board: (u64, String, bool),
    sure_at: Option<u64>,
    held: Option<(u64, super::Held)>,
    lives: u64,
}

struct World {
    now: u64,
    dice: kernel::clock::Dice,
    keepers: Vec<Keeper>,
    /// The register that a majority holds: epoch, holder, and whether it has waited.
    register: (u64, String, bool),
    acts: Vec<(u64, u64, String)>,
    /// Without the wait after a take-over: the fault that it prevents.
    hasty: bool,
}

impl World {
    fn new(seed: u64, hasty: bool) -> World {
        let keeper = |at: usize| Keeper {
            name: format!("k{at}"),
            asleep_until: 0,
            cut_until: 0,
            heard: [0; 3],
            board: (0, String::new(), false),
            sure_at: None,
            held: None,
            lives: 1,
        };
        World {
            now: 0,
            dice: kernel::clock::Dice::new(seed.wrapping_mul(0x9E37_79B9)),
            keepers: (0..3).map(keeper).collect(),
            register: (0, String::new(), false),
            acts: Vec::new(),
            hasty,
        }
    }

    fn up(&self, at: usize) -> bool {
        self.now >= self.keepers[at].asleep_until
    }

    fn linked(&self, one: usize, two: usize) -> bool {
        self.up(one)
            && self.up(two)
            && self.keepers[one].cut_until <= self.now
            && self.keepers[two].cut_until <= self.now
    }

    fn majority(&self, at: usize) -> bool {
        (0..3).filter(|other| *other == at || self.linked(at, *other)).count() >= 2
    }

    fn trouble(&mut self) {
        if self.dice.below(2500) != 0 {
            return;
        }
        let at = self.dice.below(3) as usize;
        let span = 200 + self.dice.below(7000);
        match self.dice.below(3) {
            0 => self.keepers[at].asleep_until = self.now + span,
            1 => self.keepers[at].cut_until = self.now + span,
            _ => {
                // A new life: nothing is remembered but what the register holds.
                let old = &self.keepers[at];
                let lives = old.lives + 1;
                let asleep_until = self.now + 500;
                self.keepers[at] =
                    Keeper { asleep_until, lives, heard: [self.now; 3], sure_at: None, held: None, ..old.clone() };
            }
        }
    }

    fn step(&mut self) {
        self.now += 1;
        self.trouble();
        for at in 0..3 {
            let beat = (self.now + at as u64 * 97).is_multiple_of(BEAT);
            if !beat || !self.up(at) {
                continue;
            }
            for other in 0..3 {
                if other != at && self.linked(at, other) {
                    self.keepers[other].heard[at] = self.now;
                }
            }
            if self.majority(at) {
                self.keepers[at].board = self.register.clone();
                self.keepers[at].sure_at = Some(self.now);
            }
            self.take(at);
        }
        for at in 0..3 {
            if self.up(at) && self.now.is_multiple_of(50) {
                self.act(at);
            }
        }
    }

    fn take(&mut self, at: usize) {
        let keeper = &self.keepers[at];
        let sure = keeper.sure_at.is_some_and(|time| self.now < time + SURE);
        let held = keeper.held.is_some_and(|(epoch, _)| epoch == keeper.board.0 && keeper.board.1 == keeper.name);
        if !sure || held {
            return;
        }
        let holder = keeper.board.1.clone();
        let place = self.keepers.iter().position(|other| other.name == holder);
        let live = |other: usize| other == at || self.now < keeper.heard[other] + SURE;
        let look = super::Look {
            me: &keeper.name,
            holder: &holder,
            silent_ms: place.filter(|place| *place != at).map_or(0, |place| self.now - keeper.heard[place]),
            first: (0..3).find(|other| live(*other)) == Some(at),
            lease_ms: LEASE,
        };
        if !super::may_take(look) || !self.majority(at) || self.register.0 != keeper.board.0 {
            return;
        }
        let own = holder.is_empty() || (holder == keeper.name && keeper.held.is_none() && keeper.board.2);
        let name = keeper.name.clone();
        self.register = (self.register.0 + 1, name, own);
        let held = super::Held { since: self.now, own: own || self.hasty, sure_at: self.now };
        let register = self.register.clone();
        let keeper = &mut self.keepers[at];
        keeper.held = Some((register.0, held));
        keeper.board = register;
    }

    fn act(&mut self, at: usize) {
        let keeper = &self.keepers[at];
        let (Some((epoch, held)), Some(sure_at)) = (keeper.held, keeper.sure_at) else { return };
        if (keeper.board.0, &keeper.board.1) != (epoch, &keeper.name) {
            return;
        }
        if super::may_act(super::Held { sure_at, ..held }, self.now, false, LEASE, SURE) {
            // Said in the register before the first act, so that the next life need not wait again.
            if !self.register.2 {
                if self.majority(at) && self.register.0 == epoch {
                    self.register.2 = true;
                }
                return;
            }
            self.acts.push((self.now, epoch, keeper.name.clone()));
        }
    }

    /// No two holders within a lease; no epoch below one seen.
    fn sound(&self) -> bool {
        self.acts.windows(2).all(|pair| {
            let ((before, low, one), (after, high, two)) = (&pair[0], &pair[1]);
            high >= low && (one == two || after - before >= LEASE)
        })
    }
}

fn run(seed: u64, hasty: bool) -> World {
    let mut world = World::new(seed, hasty);
    while world.now < 60_000 {
        world.step();
    }
    world
}

#[test]
fn no_two_holders_act_within_a_lease() {
    let (mut acts, mut holders) = (0, 0);
    for seed in 1..=60 {
        let world = run(seed, false);
        assert!(world.sound(), "seed {seed}");
        acts += world.acts.len();
        holders += world.acts.windows(2).filter(|pair| pair[0].2 != pair[1].2).count();
    }
    assert!(acts > 10_000 && holders > 30, "the world must get work done: {acts} acts, {holders} hand-overs");
}

#[test]
fn the_world_shows_the_fault_without_the_wait() {
    assert!((1..=60).any(|seed| !run(seed, true).sound()), "a test that can't fail shows nothing");
}
