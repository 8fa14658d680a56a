//! A simulation of raises of a staleness limit: controllers, routers and the packets between them, with random packet
//! loss, partitions, freezes and restarts derived from a seed.
//!
//! One controller raises the minimum version and acknowledges the raise once every router has confirmed it or its lease
//! has expired. No router may send below that version afterwards. A `Fault` disables one part of the protocol, to show
//! that the part is needed.

use std::collections::BTreeMap;
use std::mem;

use kernel::Rng;
use protocol::message::StalenessLimit;

use crate::staleness_bound::{StalenessBound, StalenessBounds, LEASE_MS};

/// How long a controller's state counts as confirmed after a read at a majority, in milliseconds.
const CONFIRMATION_MS: u64 = 1100;
/// The duration of a router's lease as its controller counts it, in milliseconds.
const ROUTER_LEASE_MS: u64 = 1600;
/// How long a raise waits for a controller that does not answer, in milliseconds.
const ACKNOWLEDGEMENT_WAIT_MS: u64 = CONFIRMATION_MS + LEASE_MS + 200;
/// The simulated time, in milliseconds.
const DURATION_MS: u64 = 30_000;

/// Returns a staleness limit on one model.
pub(crate) fn staleness_limit(version: u64, latest: u64, lag: u64, routes: &[&str]) -> StalenessLimit {
    let routes = routes.iter().map(|route| route.to_string()).collect();
    StalenessLimit { service: "s".into(), model: "m".into(), version, latest, lag, routes, ..Default::default() }
}

/// The part of the protocol that is disabled.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// A raise is acknowledged at once.
    AcknowledgedAtOnce,
    /// A restarted controller answers at once, although it has lost the record of its routers' leases.
    ForgottenLeases,
}

/// The result of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// The number of sends below an acknowledged minimum version.
    pub(crate) violations: u32,
    /// The number of acknowledged raises.
    pub(crate) acknowledgements: u32,
}

/// The last report of a router to a controller.
#[derive(Clone, Copy)]
struct RouterReport {
    version: u64,
    lease_until: u64,
}

#[derive(Clone, Default)]
struct Controller {
    known_version: u64,
    confirmed_until: u64,
    disconnected_until: u64,
    /// The time of its last start, at which it lost the record of earlier leases.
    restarted_at: u64,
    routers: BTreeMap<usize, RouterReport>,
}

impl Controller {
    fn restarted(now: u64) -> Controller {
        Controller { restarted_at: now, ..Default::default() }
    }

    /// Returns whether every router with a lease at this controller has confirmed a version.
    fn has_confirmed(&self, version: u64, now: u64, fault: Fault) -> bool {
        let mut live = self.routers.values().filter(|report| report.lease_until > now);
        let may_answer = fault == Fault::ForgottenLeases
            || now >= self.restarted_at + ACKNOWLEDGEMENT_WAIT_MS
            || self.restarted_at == 0;
        may_answer && self.known_version >= version && live.all(|report| report.version >= version)
    }
}

struct Router {
    bounds: StalenessBounds,
    /// The index of its controller.
    controller: usize,
    next_renewal_at: u64,
    frozen_until: u64,
    disconnected_until: u64,
}

impl Router {
    fn new(index: usize) -> Router {
        let mut bounds = StalenessBounds::default();
        bounds.update(&staleness_limit(1, 1, 0, &["r"]), 0, 0);
        Router {
            bounds,
            controller: index % 4,
            next_renewal_at: index as u64 * 37,
            frozen_until: 0,
            disconnected_until: 0,
        }
    }
}

#[derive(Clone, Copy)]
enum Packet {
    Renewal { router: usize, sent: u64, version: u64 },
    Renewed { router: usize, sent: u64, confirmed: bool },
    Update { router: usize, version: u64 },
}

struct Delivery {
    arrives_at: u64,
    packet: Packet,
}

struct Simulation {
    fault: Fault,
    rng: Rng,
    now: u64,
    controllers: Vec<Controller>,
    routers: Vec<Router>,
    in_transit: Vec<Delivery>,
    /// The newest version of the limit, the time at which it was committed, and the newest acknowledged version.
    version: u64,
    committed_at: u64,
    acknowledged: u64,
    outcome: Outcome,
}

/// Simulates one run for a seed.
pub(crate) fn simulate(seed: u64, fault: Fault) -> Outcome {
    let mut simulation = Simulation {
        fault,
        rng: Rng::new(seed.wrapping_mul(0x9E37_79B9)),
        now: 0,
        controllers: vec![Controller { known_version: 1, ..Default::default() }; 4],
        routers: (0..8).map(Router::new).collect(),
        in_transit: Vec::new(),
        version: 1,
        committed_at: 0,
        acknowledged: 1,
        outcome: Outcome::default(),
    };
    for now in 1..DURATION_MS {
        simulation.now = now;
        simulation.step();
    }
    simulation.outcome
}

impl Simulation {
    fn step(&mut self) {
        (0..self.controllers.len()).for_each(|index| self.step_controller(index));
        (0..self.routers.len()).for_each(|index| self.step_router(index));
        self.deliver();
        self.commit_raise();
        self.acknowledge();
    }

    /// Controller 0 commits the raises. The others read at a majority unless they are disconnected.
    fn step_controller(&mut self, index: usize) {
        let (now, controller) = (self.now, &mut self.controllers[index]);
        if now >= controller.disconnected_until && (now + index as u64 * 90).is_multiple_of(350) {
            controller.known_version = self.version;
            controller.confirmed_until = now + CONFIRMATION_MS;
        }
        if self.rng.below(25_000) == 0 {
            *controller = Controller::restarted(now);
        }
        if index > 0 && self.rng.below(2500) == 0 {
            controller.disconnected_until = now + 300 + self.rng.below(4000);
        }
    }

    fn step_router(&mut self, index: usize) {
        let now = self.now;
        self.inject_router_faults(index);
        if now < self.routers[index].frozen_until {
            return;
        }
        // A router that resumes first sends the request that it was about to send when it froze.
        if self.rng.below(7) == 0 || now == self.routers[index].frozen_until {
            self.send_request(index);
        }
        let router = &mut self.routers[index];
        if now >= router.next_renewal_at && now >= router.disconnected_until {
            router.next_renewal_at = now + 400;
            let version = router.bounds.versions()[0].1;
            let arrives_at = now + 1 + self.rng.below(60);
            self.send(arrives_at, Packet::Renewal { router: index, sent: now, version });
        }
    }

    fn inject_router_faults(&mut self, index: usize) {
        let (now, router) = (self.now, &mut self.routers[index]);
        if self.rng.below(3000) == 0 {
            router.frozen_until = now + self.rng.below(5000);
        }
        if self.rng.below(4000) == 0 {
            router.disconnected_until = now + self.rng.below(4000);
        }
        if self.rng.below(3000) == 0 {
            router.controller = self.rng.below(4) as usize;
        }
    }

    fn send_request(&mut self, index: usize) {
        if let StalenessBound::AtLeast(min_version) = self.routers[index].bounds.bound_for(0, "m", "r", self.now) {
            self.outcome.violations += u32::from(min_version < self.acknowledged);
        }
    }

    fn send(&mut self, arrives_at: u64, packet: Packet) {
        self.in_transit.push(Delivery { arrives_at, packet });
    }

    /// Delivers the packets that are due, in sending order. One packet in fifty is lost.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, not_due): (Vec<_>, Vec<_>) =
            mem::take(&mut self.in_transit).into_iter().partition(|delivery| delivery.arrives_at <= now);
        self.in_transit = not_due;
        for delivery in due {
            if self.rng.below(50) != 0 {
                self.receive(delivery.packet);
            }
        }
    }

    fn receive(&mut self, packet: Packet) {
        match packet {
            Packet::Renewal { router, sent, version } => self.answer_renewal(router, sent, version),
            // A frozen router receives the packet when it resumes.
            Packet::Renewed { router, .. } | Packet::Update { router, .. }
                if self.now < self.routers[router].frozen_until =>
            {
                self.send(self.routers[router].frozen_until + 1, packet);
            }
            Packet::Renewed { router, sent, confirmed } => {
                if confirmed {
                    self.routers[router].bounds.renew_lease(sent);
                }
            }
            Packet::Update { router, version } => {
                let limit = staleness_limit(version, version, 0, &["r"]);
                self.routers[router].bounds.update(&limit, 0, self.now);
                self.routers[router].next_renewal_at = self.now;
            }
        }
    }

    fn answer_renewal(&mut self, router: usize, sent: u64, version: u64) {
        let now = self.now;
        let controller = &mut self.controllers[self.routers[router].controller];
        controller.routers.insert(router, RouterReport { version, lease_until: now + ROUTER_LEASE_MS });
        let known_version = controller.known_version;
        let confirmed = now < controller.confirmed_until && version >= known_version;
        let arrives_at = now + 1 + self.rng.below(60);
        if version < known_version {
            self.send(arrives_at, Packet::Update { router, version: known_version });
        }
        self.send(arrives_at, Packet::Renewed { router, sent, confirmed });
    }

    /// Commits one raise at a time, and sometimes restarts a controller or loses the owner of the raise.
    fn commit_raise(&mut self) {
        if self.acknowledged == self.version && self.rng.below(700) == 0 {
            (self.version, self.committed_at) = (self.version + 1, self.now);
            self.controllers[0].known_version = self.version;
            if self.rng.below(4) == 0 {
                // Another controller restarts at the same time.
                let index = 1 + self.rng.below(3) as usize;
                self.controllers[index] = Controller::restarted(self.now);
            }
        }
        // The owner of the raise is lost before the acknowledgement: its successor waits from the beginning.
        if self.acknowledged < self.version && self.rng.below(1500) == 0 {
            self.committed_at = self.now;
        }
    }

    /// Acknowledges the raise once every router has confirmed it or its lease must have expired.
    fn acknowledge(&mut self) {
        let (now, version, fault) = (self.now, self.version, self.fault);
        let at_once = fault == Fault::AcknowledgedAtOnce;
        if self.acknowledged >= version || !(at_once || (now - self.committed_at).is_multiple_of(60)) {
            return;
        }
        let has_timed_out = now >= self.committed_at + ACKNOWLEDGEMENT_WAIT_MS;
        let is_settled = |controller: &Controller| {
            (now < controller.disconnected_until && has_timed_out) || controller.has_confirmed(version, now, fault)
        };
        if at_once || self.controllers.iter().all(is_settled) {
            self.acknowledged = version;
            self.outcome.acknowledgements += 1;
        }
    }
}
