//! Simulation in virtual time of three controllers that own a singleton role in turn, and of its register.
//!
//! Controllers freeze, restart, lose their quorum and are partitioned from each other. The simulation records every
//! order that an owner sends, for tests to check.

use std::array;

use kernel::Rng;

use crate::singleton_role::{self, ConfirmedStreak, RoleTenure, RoleView};
use crate::{MembershipView, Peer, PeerReport};

const CONTROLLER_COUNT: usize = 3;
const QUORUM: usize = 2;

/// Lease duration of the role, in milliseconds.
pub const LEASE_MS: u64 = 3000;
/// How long a controller stays confirmed after its last confirmation, in milliseconds.
const CONFIRMATION_TTL_MS: u64 = 1100;
const HEARTBEAT_INTERVAL_MS: u64 = 350;
/// Offset between the heartbeats of one controller and the next, in milliseconds.
const HEARTBEAT_OFFSET_MS: u64 = 97;
/// Interval at which an owner sends orders, in milliseconds.
const ORDER_INTERVAL_MS: u64 = 50;
/// Grace period after its start during which a controller acquires no role, in milliseconds.
const STARTUP_GRACE_MS: u64 = 1200;
/// Upper bound of the delivery delay of an order, in milliseconds.
const MAX_ORDER_DELAY_MS: u64 = 800;
/// Mean interval between injected faults, in milliseconds.
const MEAN_FAULT_INTERVAL_MS: u64 = 2500;
/// Register key of the role.
pub const ROLE: &str = "duty/balance";

/// An order from an owner to an engine.
#[derive(Clone, Debug)]
pub struct Order {
    /// When it arrives, in milliseconds.
    pub arrives_at: u64,
    /// The epoch under which it was sent.
    pub epoch: u64,
    /// Name of the controller that sent it.
    pub owner: String,
}

/// The register of the role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    /// Increases with every acquisition.
    pub epoch: u64,
    /// Name of the owner; empty until a controller acquires the role.
    pub owner: String,
    /// Whether the owner recorded that its predecessor can no longer act.
    pub predecessor_expired: bool,
}

/// A controller's ownership of the role under the epoch that it acquired.
#[derive(Clone, Copy)]
struct Ownership {
    epoch: u64,
    tenure: RoleTenure,
}

/// A simulated controller. Times are in milliseconds.
#[derive(Clone)]
pub struct Controller {
    pub name: String,
    /// End of a freeze, during which it does nothing.
    frozen_until: u64,
    /// End of a partition from all others.
    partitioned_until: u64,
    /// End of a fault during which its heartbeats reach all others, but its consensus rounds reach no quorum.
    pub without_quorum_until: u64,
    started_at: u64,
    pub view: MembershipView,
    streak: ConfirmedStreak,
    /// The register as a quorum last confirmed it.
    known_register: Register,
    /// Whether it knows that the register records the expiry of its predecessor.
    has_recorded_expiry: bool,
    confirmed_at: Option<u64>,
    ownership: Option<Ownership>,
}

impl Controller {
    /// Creates a controller that has just started and knows no peers.
    fn started(index: usize, started_at: u64, frozen_until: u64) -> Controller {
        let name = format!("k{index}");
        Controller {
            view: MembershipView::new(&name, "", CONFIRMATION_TTL_MS),
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
        self.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + CONFIRMATION_TTL_MS)
    }

    fn is_owner(&self) -> bool {
        let register = &self.known_register;
        self.ownership.is_some_and(|ownership| ownership.epoch == register.epoch && register.owner == self.name)
    }
}

/// The state of a simulation. Times are in milliseconds.
pub struct Simulation {
    pub now: u64,
    rng: Rng,
    pub controllers: [Controller; CONTROLLER_COUNT],
    /// End of a partition between two controllers only, by their indices in ascending order.
    pub pair_partitioned_until: [[u64; CONTROLLER_COUNT]; CONTROLLER_COUNT],
    /// The committed register.
    pub register: Register,
    /// Orders in the sequence in which they were sent.
    pub orders: Vec<Order>,
    /// Owners act without waiting for their predecessors to expire, to show the fault that the wait prevents.
    skips_wait: bool,
    /// Controllers judge an owner only by its heartbeats to them, to show the fault that the peers' reports prevent.
    pub ignores_reports: bool,
    /// No random faults are injected, and register writes always succeed.
    pub is_fault_free: bool,
}

impl Simulation {
    pub fn new(seed: u64, skips_wait: bool) -> Simulation {
        Simulation {
            now: 0,
            rng: Rng::new(seed.wrapping_mul(0x9E37_79B9)),
            controllers: array::from_fn(|index| Controller::started(index, 0, 0)),
            pair_partitioned_until: Default::default(),
            register: Register::default(),
            orders: Vec::new(),
            skips_wait,
            ignores_reports: false,
            is_fault_free: false,
        }
    }

    /// Advances the simulation by one millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        self.inject_fault();
        for index in 0..CONTROLLER_COUNT {
            let is_due = (self.now + index as u64 * HEARTBEAT_OFFSET_MS).is_multiple_of(HEARTBEAT_INTERVAL_MS);
            if is_due && self.is_up(index) {
                self.heartbeat(index);
            }
        }
        for index in 0..CONTROLLER_COUNT {
            if self.is_up(index) && self.now.is_multiple_of(ORDER_INTERVAL_MS) {
                self.send_order(index);
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

    fn are_connected(&self, one: usize, other: usize) -> bool {
        self.is_up(one)
            && self.is_up(other)
            && self.controllers[one].partitioned_until <= self.now
            && self.controllers[other].partitioned_until <= self.now
            && self.pair_partitioned_until[one.min(other)][one.max(other)] <= self.now
    }

    fn reaches_quorum(&self, index: usize) -> bool {
        let reached =
            (0..CONTROLLER_COUNT).filter(|other| *other == index || self.are_connected(index, *other)).count();
        reached >= QUORUM && self.now >= self.controllers[index].without_quorum_until
    }

    /// Injects a random fault with a mean interval of `MEAN_FAULT_INTERVAL_MS`.
    fn inject_fault(&mut self) {
        if self.is_fault_free || self.rng.below(MEAN_FAULT_INTERVAL_MS) != 0 {
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

    /// Restarts a controller. It keeps only the register that it knows; partitions and quorum faults continue.
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
        self.try_acquire(index);
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

    fn try_acquire(&mut self, index: usize) {
        let now = self.now;
        let controller = &mut self.controllers[index];
        if now < controller.started_at + STARTUP_GRACE_MS {
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

    /// Runs a consensus round that writes the register. Returns `false` if the outcome is unknown: the write may or may
    /// not have happened.
    fn write_register(&mut self, next: Register) -> bool {
        let outcome = if self.is_fault_free { 2 } else { self.rng.below(8) };
        if outcome != 0 {
            self.register = next;
        }
        outcome > 1
    }

    fn send_order(&mut self, index: usize) {
        let controller = &self.controllers[index];
        let (Some(ownership), Some(confirmed_at)) = (controller.ownership, controller.confirmed_at) else { return };
        if !controller.is_owner() {
            return;
        }
        let tenure = RoleTenure { confirmed_at, ..ownership.tenure };
        if !singleton_role::may_act(tenure, self.now, false, LEASE_MS, CONFIRMATION_TTL_MS) {
            return;
        }
        let (epoch, owner) = (ownership.epoch, controller.name.clone());
        // Recorded before the first order, so that the next incarnation of this controller need not wait again.
        if !controller.has_recorded_expiry {
            self.record_expiry(index, epoch, owner);
            return;
        }
        let arrives_at = self.now + self.rng.below(MAX_ORDER_DELAY_MS);
        self.orders.push(Order { arrives_at, epoch, owner });
    }

    fn record_expiry(&mut self, index: usize, epoch: u64, owner: String) {
        let is_written = self.reaches_quorum(index)
            && self.register.epoch == epoch
            && self.write_register(Register { epoch, owner, predecessor_expired: true });
        self.controllers[index].has_recorded_expiry |= is_written;
    }
}
