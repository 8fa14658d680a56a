//! Three controllers that own a singleton role in turn, and its register, in virtual time.
//!
//! Controllers freeze, restart, lose their quorum and are cut off from each other. The world records every act of an owner, for
//! tests to judge.

use std::array;

use kernel::Rng;

use crate::singleton_role::{self, ConfirmedStreak, RoleTenure, RoleView};
use crate::{MembershipView, Peer, PeerReport};

const CONTROLLER_COUNT: usize = 3;
const QUORUM: usize = 2;

/// The lease of the role.
pub const LEASE_MS: u64 = 3000;
/// How long a controller stays confirmed after its last confirmation.
const CONFIRMED_MS: u64 = 1100;
const HEARTBEAT_INTERVAL_MS: u64 = 350;
/// Each controller's heartbeats are shifted by so much against those of the one before.
const HEARTBEAT_SHIFT_MS: u64 = 97;
const ACT_INTERVAL_MS: u64 = 50;
/// A controller that has just started acquires nothing for so long.
const LISTEN_MS: u64 = 1200;
/// The longest that an order is on its way.
const MAX_ORDER_DELAY_MS: u64 = 800;
/// A disturbance comes once in so many milliseconds on average.
const DISTURBANCE_INTERVAL_MS: u64 = 2500;
/// The key of the role.
pub const ROLE: &str = "duty/balance";

/// An order as an engine sees it.
#[derive(Clone, Debug)]
pub struct Act {
    /// When it arrives.
    pub at: u64,
    /// The epoch under which it was sent.
    pub epoch: u64,
    /// Who sent it.
    pub owner: String,
}

/// The register of the role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    /// Rises with every change of the owner.
    pub epoch: u64,
    /// Empty until somebody acquires the role.
    pub owner: String,
    /// Whether the owner recorded that its predecessor can no longer act.
    pub predecessor_expired: bool,
}

/// How a controller owns the role, with the epoch it acquired.
#[derive(Clone, Copy)]
struct Ownership {
    epoch: u64,
    tenure: RoleTenure,
}

#[derive(Clone)]
pub struct Controller {
    pub name: String,
    /// It does nothing at all before then.
    frozen_until: u64,
    /// It is cut off from all others until then.
    partitioned_until: u64,
    /// Its heartbeats reach all, but its rounds reach no quorum until then.
    pub without_quorum_until: u64,
    started_at: u64,
    pub view: MembershipView,
    streak: ConfirmedStreak,
    /// The register as a quorum last confirmed it.
    known_register: Register,
    /// It knows that the register records that its predecessor has expired.
    has_recorded_expiry: bool,
    confirmed_at: Option<u64>,
    ownership: Option<Ownership>,
}

impl Controller {
    /// A controller that knows nothing but what the register holds.
    fn started(index: usize, started_at: u64, frozen_until: u64) -> Controller {
        let name = format!("k{index}");
        Controller {
            view: MembershipView::new(&name, "", CONFIRMED_MS),
            name,
            frozen_until,
            partitioned_until: 0,
            without_quorum_until: 0,
            started_at,
            streak: ConfirmedStreak::default(),
            known_register: Register::default(),
            has_recorded_expiry: false,
            confirmed_at: None,
            ownership: None,
        }
    }

    fn is_confirmed(&self, now: u64) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + CONFIRMED_MS)
    }

    fn is_owner(&self) -> bool {
        let register = &self.known_register;
        self.ownership.is_some_and(|ownership| ownership.epoch == register.epoch && register.owner == self.name)
    }
}

pub struct World {
    pub now: u64,
    rng: Rng,
    pub controllers: [Controller; CONTROLLER_COUNT],
    /// Until when two controllers are cut off from each other alone, by their indices in rising order.
    pub pair_partitioned_until: [[u64; CONTROLLER_COUNT]; CONTROLLER_COUNT],
    /// The register as a quorum holds it.
    pub register: Register,
    /// Orders in the sequence in which they were sent.
    pub acts: Vec<Act>,
    /// Owners act without waiting for their predecessors: the fault that the wait prevents.
    skips_wait: bool,
    /// Controllers believe only the heartbeats that reach them: the fault that the peers' reports prevent.
    pub ignores_reports: bool,
    /// No disturbance comes by chance.
    pub is_undisturbed: bool,
}

impl World {
    pub fn new(seed: u64, skips_wait: bool) -> World {
        World {
            now: 0,
            rng: Rng::new(seed.wrapping_mul(0x9E37_79B9)),
            controllers: array::from_fn(|index| Controller::started(index, 0, 0)),
            pair_partitioned_until: Default::default(),
            register: Register::default(),
            acts: Vec::new(),
            skips_wait,
            ignores_reports: false,
            is_undisturbed: false,
        }
    }

    /// Moves on by a millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        self.disturb();
        for index in 0..CONTROLLER_COUNT {
            let is_due = (self.now + index as u64 * HEARTBEAT_SHIFT_MS).is_multiple_of(HEARTBEAT_INTERVAL_MS);
            if is_due && self.is_up(index) {
                self.heartbeat(index);
            }
        }
        for index in 0..CONTROLLER_COUNT {
            if self.is_up(index) && self.now.is_multiple_of(ACT_INTERVAL_MS) {
                self.act(index);
            }
        }
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step();
        }
    }

    fn is_up(&self, index: usize) -> bool {
        self.now >= self.controllers[index].frozen_until
    }

    fn are_connected(&self, one: usize, two: usize) -> bool {
        self.is_up(one)
            && self.is_up(two)
            && self.controllers[one].partitioned_until <= self.now
            && self.controllers[two].partitioned_until <= self.now
            && self.pair_partitioned_until[one.min(two)][one.max(two)] <= self.now
    }

    fn reaches_quorum(&self, index: usize) -> bool {
        let reached =
            (0..CONTROLLER_COUNT).filter(|other| *other == index || self.are_connected(index, *other)).count();
        reached >= QUORUM && self.now >= self.controllers[index].without_quorum_until
    }

    fn disturb(&mut self) {
        if self.is_undisturbed || self.rng.below(DISTURBANCE_INTERVAL_MS) != 0 {
            return;
        }
        let index = self.rng.below(CONTROLLER_COUNT as u64) as usize;
        let until = self.now + 200 + self.rng.below(7000);
        match self.rng.below(5) {
            0 => self.controllers[index].frozen_until = until,
            1 => self.controllers[index].partitioned_until = until,
            2 => self.controllers[index].without_quorum_until = until,
            3 => {
                let other = (index + 1) % CONTROLLER_COUNT;
                self.pair_partitioned_until[index.min(other)][index.max(other)] = until;
            }
            _ => self.restart(index),
        }
    }

    /// The new run remembers nothing but what it reads from the register; cuts go on.
    fn restart(&mut self, index: usize) {
        let frozen_until = self.now + self.rng.below(1000);
        let old = &self.controllers[index];
        self.controllers[index] = Controller {
            partitioned_until: old.partitioned_until,
            without_quorum_until: old.without_quorum_until,
            known_register: old.known_register.clone(),
            ..Controller::started(index, self.now, frozen_until)
        };
    }

    fn heartbeat(&mut self, index: usize) {
        self.gossip(index);
        if self.reaches_quorum(index) {
            self.controllers[index].known_register = self.register.clone();
            self.controllers[index].confirmed_at = Some(self.now);
        }
        self.consider_acquiring(index);
    }

    fn gossip(&mut self, index: usize) {
        let now = self.now;
        let sender = &self.controllers[index];
        let name = sender.name.clone();
        let confirmations = sender.view.controllers.keys().filter(|peer| sender.view.confirms(peer, now));
        let report = PeerReport {
            confirmed: sender.is_confirmed(now),
            confirmations: confirmations.cloned().collect(),
            ..Default::default()
        };
        for other in (0..CONTROLLER_COUNT).filter(|other| *other != index) {
            if self.are_connected(index, other) {
                let view = &mut self.controllers[other].view;
                view.observe(&name, Peer { last_seen: now, ..Default::default() });
                view.record_report(&name, report.clone(), now);
            }
        }
    }

    fn consider_acquiring(&mut self, index: usize) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        if now < controller.started_at + LISTEN_MS {
            return;
        }
        let is_confirmed = controller.is_confirmed(now);
        let confirmed_ms = controller.streak.confirmed_ms(is_confirmed, now);
        if !is_confirmed || controller.is_owner() {
            return;
        }
        let may_acquire = self.may_acquire(index, confirmed_ms);
        if may_acquire && self.reaches_quorum(index) && self.register.epoch == self.known_epoch(index) {
            self.acquire(index);
        }
    }

    fn known_epoch(&self, index: usize) -> u64 {
        self.controllers[index].known_register.epoch
    }

    fn may_acquire(&self, index: usize, confirmed_ms: u64) -> bool {
        let controller = &self.controllers[index];
        let owner = &controller.known_register.owner;
        let unavailable_ms = match self.ignores_reports {
            true => controller.view.silent_ms(owner, self.now),
            false => controller.view.unavailable_ms(owner, self.now).min(confirmed_ms),
        };
        singleton_role::may_acquire(RoleView {
            own_ip: &controller.name,
            owner,
            unavailable_ms,
            is_first_confirmed: controller.view.first_confirmed(ROLE, self.now).as_ref() == Some(&controller.name),
            lease_ms: LEASE_MS,
        })
    }

    fn acquire(&mut self, index: usize) {
        let controller = &self.controllers[index];
        let last = &controller.known_register;
        let is_own_successor = last.owner == controller.name && controller.ownership.is_none();
        let predecessor_expired = last.owner.is_empty() || (is_own_successor && last.predecessor_expired);
        let epoch = self.register.epoch + 1;
        let owner = controller.name.clone();
        if !self.write_register(Register { epoch, owner, predecessor_expired }) {
            return;
        }
        let tenure = RoleTenure {
            acquired_at: self.now,
            predecessor_expired: predecessor_expired || self.skips_wait,
            confirmed_at: self.now,
        };
        let controller = &mut self.controllers[index];
        controller.ownership = Some(Ownership { epoch, tenure });
        controller.has_recorded_expiry = predecessor_expired;
        controller.known_register = self.register.clone();
    }

    /// A round that writes the register. False: its outcome is unknown, whether it was carried out or not.
    fn write_register(&mut self, next: Register) -> bool {
        let outcome = if self.is_undisturbed { 2 } else { self.rng.below(8) };
        if outcome != 0 {
            self.register = next;
        }
        outcome > 1
    }

    fn act(&mut self, index: usize) {
        let controller = &self.controllers[index];
        let (Some(ownership), Some(confirmed_at)) = (controller.ownership, controller.confirmed_at) else { return };
        if !controller.is_owner() {
            return;
        }
        let tenure = RoleTenure { confirmed_at, ..ownership.tenure };
        if !singleton_role::may_act(tenure, self.now, false, LEASE_MS, CONFIRMED_MS) {
            return;
        }
        let (epoch, owner) = (ownership.epoch, controller.name.clone());
        // Before the first act, so that the next incarnation need not wait again.
        if !controller.has_recorded_expiry {
            self.record_expiry(index, epoch, owner);
            return;
        }
        let at = self.now + self.rng.below(MAX_ORDER_DELAY_MS);
        self.acts.push(Act { at, epoch, owner });
    }

    fn record_expiry(&mut self, index: usize, epoch: u64, owner: String) {
        let is_recorded = self.reaches_quorum(index)
            && self.register.epoch == epoch
            && self.write_register(Register { epoch, owner, predecessor_expired: true });
        self.controllers[index].has_recorded_expiry |= is_recorded;
    }
}
