//! The world of the duty tests: three controllers and the register, in virtual time.

use kernel::Rng;

use crate::singleton_role::{self, ConfirmedStreak, RoleTenure, RoleView};
use crate::{MembershipView, Peer, PeerReport};

pub const LEASE: u64 = 3000;
pub const SURE: u64 = 1100;
pub const BEAT: u64 = 350;
/// A controller that has just started first listens for this long.
pub const LISTEN: u64 = 1200;
/// The longest that an order is on its way.
const ON_ITS_WAY: u64 = 800;
pub const DUTY: &str = "duty/balance";

/// An order as an engine sees it.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: u64,
    pub epoch: u64,
    pub holder: String,
}

#[derive(Clone)]
pub struct Controller {
    pub name: String,
    /// No beat, no look and no act before then.
    pub asleep_until: u64,
    pub cut_until: u64,
    /// Heard by all, but its rounds reach no majority.
    pub deaf_until: u64,
    pub started: u64,
    pub roster: MembershipView,
    pub streak: ConfirmedStreak,
    pub board: (u64, String, bool),
    /// It knows that the register says that it has waited.
    pub declared: bool,
    pub sure_at: Option<u64>,
    pub held: Option<(u64, RoleTenure)>,
    pub lives: u64,
}

pub struct World {
    pub now: u64,
    pub dice: Rng,
    pub controllers: Vec<Controller>,
    /// Until when two controllers are cut off from each other alone.
    pub pair_cut_until: [[u64; 3]; 3],
    /// The register that a majority holds: epoch, holder, and whether it has waited.
    pub register: (u64, String, bool),
    /// Orders by their arrival.
    pub acts: Vec<Act>,
    /// Without the wait after a take-over: the fault that it prevents.
    pub hasty: bool,
    /// Believing only what is heard directly: the fault that the peers' reports prevent.
    pub own_ears_only: bool,
    /// No trouble comes by chance.
    pub calm: bool,
}

fn roster(at: usize) -> MembershipView {
    MembershipView::new(&format!("k{at}"), "", SURE)
}

impl World {
    pub fn new(seed: u64, hasty: bool) -> World {
        let controller = |at: usize| Controller {
            name: format!("k{at}"),
            asleep_until: 0,
            cut_until: 0,
            deaf_until: 0,
            started: 0,
            roster: roster(at),
            streak: Default::default(),
            board: (0, String::new(), false),
            declared: false,
            sure_at: None,
            held: None,
            lives: 1,
        };
        World {
            now: 0,
            dice: Rng::new(seed.wrapping_mul(0x9E37_79B9)),
            controllers: (0..3).map(controller).collect(),
            pair_cut_until: [[0; 3]; 3],
            register: (0, String::new(), false),
            acts: Vec::new(),
            hasty,
            own_ears_only: false,
            calm: false,
        }
    }

    fn up(&self, at: usize) -> bool {
        self.now >= self.controllers[at].asleep_until
    }

    fn linked(&self, one: usize, two: usize) -> bool {
        self.up(one)
            && self.up(two)
            && self.controllers[one].cut_until <= self.now
            && self.controllers[two].cut_until <= self.now
            && self.pair_cut_until[one.min(two)][one.max(two)] <= self.now
    }

    fn majority(&self, at: usize) -> bool {
        let reached = (0..3).filter(|other| *other == at || self.linked(at, *other)).count();
        reached >= 2 && self.now >= self.controllers[at].deaf_until
    }

    fn trouble(&mut self) {
        if self.calm || self.dice.below(2500) != 0 {
            return;
        }
        let at = self.dice.below(3) as usize;
        let span = 200 + self.dice.below(7000);
        match self.dice.below(5) {
            0 => self.controllers[at].asleep_until = self.now + span,
            1 => self.controllers[at].cut_until = self.now + span,
            2 => self.controllers[at].deaf_until = self.now + span,
            3 => {
                let other = (at + 1) % 3;
                self.pair_cut_until[at.min(other)][at.max(other)] = self.now + span;
            }
            _ => {
                // A new life: nothing is remembered but what the register holds.
                let old = &self.controllers[at];
                let lives = old.lives + 1;
                let asleep_until = self.now + self.dice.below(1000);
                self.controllers[at] = Controller {
                    asleep_until,
                    lives,
                    started: self.now,
                    roster: roster(at),
                    streak: Default::default(),
                    sure_at: None,
                    held: None,
                    declared: false,
                    ..old.clone()
                };
            }
        }
    }

    pub fn step(&mut self) {
        self.now += 1;
        self.trouble();
        for at in 0..3 {
            let beat = (self.now + at as u64 * 97).is_multiple_of(BEAT);
            if !beat || !self.up(at) {
                continue;
            }
            self.gossip(at);
            if self.majority(at) {
                self.controllers[at].board = self.register.clone();
                self.controllers[at].sure_at = Some(self.now);
            }
            self.take(at);
        }
        for at in 0..3 {
            if self.up(at) && self.now.is_multiple_of(50) {
                self.act(at);
            }
        }
    }

    fn gossip(&mut self, at: usize) {
        let (name, now) = (self.controllers[at].name.clone(), self.now);
        let own = &self.controllers[at].roster;
        let vouches = own.controllers.keys().filter(|peer| own.confirms(peer, now)).cloned().collect();
        let sure = self.controllers[at].sure_at.is_some_and(|time| now < time + SURE);
        let report = PeerReport { confirmed: sure, confirmations: vouches, ..Default::default() };
        for other in (0..3).filter(|other| *other != at) {
            if self.linked(at, other) {
                let roster = &mut self.controllers[other].roster;
                roster.observe(&name, Peer { last_seen: now, ..Default::default() });
                roster.record_report(&name, report.clone(), now);
            }
        }
    }

    fn take(&mut self, at: usize) {
        if self.now < self.controllers[at].started + LISTEN {
            return;
        }
        let controller = &self.controllers[at];
        let sure = controller.sure_at.is_some_and(|time| self.now < time + SURE);
        let held = controller
            .held
            .is_some_and(|(epoch, _)| epoch == controller.board.0 && controller.board.1 == controller.name);
        let sure_ms = self.controllers[at].streak.confirmed_ms(sure, self.now);
        let controller = &self.controllers[at];
        if !sure || held {
            return;
        }
        let holder = controller.board.1.clone();
        let absent_ms = match self.own_ears_only {
            true => controller.roster.silent_ms(&holder, self.now),
            false => controller.roster.unavailable_ms(&holder, self.now).min(sure_ms),
        };
        let look = RoleView {
            own_ip: &controller.name,
            owner: &holder,
            unavailable_ms: absent_ms,
            is_first_confirmed: controller.roster.first_confirmed(DUTY, self.now).as_ref() == Some(&controller.name),
            lease_ms: LEASE,
        };
        if !singleton_role::may_acquire(look) || !self.majority(at) || self.register.0 != controller.board.0 {
            return;
        }
        let own = holder.is_empty() || (holder == controller.name && controller.held.is_none() && controller.board.2);
        let name = controller.name.clone();
        let epoch = self.register.0 + 1;
        if !self.change((epoch, name, own)) {
            return;
        }
        let held = RoleTenure { acquired_at: self.now, predecessor_expired: own || self.hasty, confirmed_at: self.now };
        let register = self.register.clone();
        let controller = &mut self.controllers[at];
        controller.held = Some((epoch, held));
        controller.declared = own;
        controller.board = register;
    }

    /// A round of the register. False: its outcome is unknown, whether it was carried out or not.
    fn change(&mut self, next: (u64, String, bool)) -> bool {
        let fate = if self.calm { 2 } else { self.dice.below(8) };
        if fate != 0 {
            self.register = next;
        }
        fate > 1
    }

    fn act(&mut self, at: usize) {
        let controller = &self.controllers[at];
        let (Some((epoch, held)), Some(sure_at)) = (controller.held, controller.sure_at) else { return };
        if (controller.board.0, &controller.board.1) != (epoch, &controller.name) {
            return;
        }
        if singleton_role::may_act(RoleTenure { confirmed_at: sure_at, ..held }, self.now, false, LEASE, SURE) {
            // Said in the register before the first act, so that the next life need not wait again.
            if !controller.declared {
                let holder = controller.name.clone();
                let known = self.majority(at) && self.register.0 == epoch && self.change((epoch, holder, true));
                self.controllers[at].declared |= known;
                return;
            }
            if controller.declared {
                let act = Act { at: self.now + self.dice.below(ON_ITS_WAY), epoch, holder: controller.name.clone() };
                self.acts.push(act);
            }
        }
    }
}
