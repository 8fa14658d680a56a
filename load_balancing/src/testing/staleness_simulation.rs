//! A simulation of raised limits on stale weights: controllers, routers and the packets between them, with losses, cuts,
//! freezes and restarts, drawn from a seed.
//!
//! One controller raises the minimum version and acknowledges the raise once every router has confirmed it or its lease
//! has lapsed. No router may then send below it. A `Fault` leaves out one part of the protocol, to show that it is needed.

use std::collections::BTreeMap;
use std::mem;

use kernel::Rng;
use protocol::message::StalenessLimit;

use crate::staleness_bound::{StalenessBound, StalenessBounds, LEASE_MS};

/// For how long a controller is sure of what it read at a majority, in milliseconds.
const CONFIRMATION_MS: u64 = 1100;
/// How long a controller counts a router's lease, in milliseconds.
const ROUTER_LEASE_MS: u64 = 1600;
/// How long a raise waits for a controller that does not answer, in milliseconds.
const ACKNOWLEDGEMENT_WAIT_MS: u64 = CONFIRMATION_MS + LEASE_MS + 200;
/// The time that is simulated, in milliseconds.
const DURATION_MS: u64 = 30_000;

/// Returns a limit on the weights of one model.
pub(crate) fn staleness_limit(version: u64, latest: u64, lag: u64, routes: &[&str]) -> StalenessLimit {
    let routes = routes.iter().map(|route| route.to_string()).collect();
    StalenessLimit { service: "s".into(), model: "m".into(), version, latest, lag, routes, ..Default::default() }
}

/// What is left out.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// A raise is acknowledged at once.
    AcknowledgedAtOnce,
    /// A controller that has just started answers for routers whose leases it forgot.
    ForgottenLeases,
}

/// What came of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Sends below a minimum version that was acknowledged.
    pub(crate) violations: u32,
    /// Raises that were acknowledged.
    pub(crate) acknowledgements: u32,
}

/// What a router last reported to a controller.
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
    /// When it last started: it has forgotten who held a lease before.
    started_at: u64,
    routers: BTreeMap<usize, RouterReport>,
}

impl Controller {
    fn restarted(now: u64) -> Controller {
        Controller { started_at: now, ..Default::default() }
    }

    /// Returns whether every router with a lease here has confirmed a version.
    fn has_confirmed(&self, version: u64, now: u64, fault: Fault) -> bool {
        let mut live = self.routers.values().filter(|report| report.lease_until > now);
        let may_answer =
            fault == Fault::ForgottenLeases || now >= self.started_at + ACKNOWLEDGEMENT_WAIT_MS || self.started_at == 0;
        may_answer && self.known_version >= version && live.all(|report| report.version >= version)
    }
}

struct Router {
    bounds: StalenessBounds,
    /// The index of its controller.
    controller: usize,
    next_renewal_at: u64,
    asleep_until: u64,
    disconnected_until: u64,
}

impl Router {
    fn new(at: usize) -> Router {
        let mut bounds = StalenessBounds::default();
        bounds.update(&staleness_limit(1, 1, 0, &["r"]), 0, 0);
        Router { bounds, controller: at % 4, next_renewal_at: at as u64 * 37, asleep_until: 0, disconnected_until: 0 }
    }
}

#[derive(Clone, Copy)]
enum Packet {
    Renewal { router: usize, sent: u64, version: u64 },
    Renewed { router: usize, sent: u64, confirmed: bool },
    Update { router: usize, version: u64 },
}

struct Delivery {
    at: u64,
    packet: Packet,
}

struct Simulation {
    fault: Fault,
    rng: Rng,
    now: u64,
    controllers: Vec<Controller>,
    routers: Vec<Router>,
    in_transit: Vec<Delivery>,
    /// The newest version of the limit, when it was committed, and the newest one acknowledged.
    version: u64,
    committed_at: u64,
    acknowledged: u64,
    outcome: Outcome,
}

/// Runs one simulation.
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
        (0..self.controllers.len()).for_each(|at| self.step_controller(at));
        (0..self.routers.len()).for_each(|at| self.step_router(at));
        self.deliver();
        self.raise();
        self.acknowledge();
    }

    /// Controller 0 commits the raises; the others read at a majority, unless they are disconnected.
    fn step_controller(&mut self, at: usize) {
        let (now, controller) = (self.now, &mut self.controllers[at]);
        if now >= controller.disconnected_until && (now + at as u64 * 90).is_multiple_of(350) {
            controller.known_version = self.version;
            controller.confirmed_until = now + CONFIRMATION_MS;
        }
        if self.rng.below(25_000) == 0 {
            *controller = Controller::restarted(now);
        }
        if at > 0 && self.rng.below(2500) == 0 {
            controller.disconnected_until = now + 300 + self.rng.below(4000);
        }
    }

    fn step_router(&mut self, at: usize) {
        let now = self.now;
        self.disturb_router(at);
        if now < self.routers[at].asleep_until {
            return;
        }
        // The first thing on waking is a request that was about to be sent.
        if self.rng.below(7) == 0 || now == self.routers[at].asleep_until {
            self.send_request(at);
        }
        let router = &mut self.routers[at];
        if now >= router.next_renewal_at && now >= router.disconnected_until {
            router.next_renewal_at = now + 400;
            let version = router.bounds.versions()[0].1;
            let arrival = now + 1 + self.rng.below(60);
            self.send(arrival, Packet::Renewal { router: at, sent: now, version });
        }
    }

    fn disturb_router(&mut self, at: usize) {
        let (now, router) = (self.now, &mut self.routers[at]);
        if self.rng.below(3000) == 0 {
            router.asleep_until = now + self.rng.below(5000);
        }
        if self.rng.below(4000) == 0 {
            router.disconnected_until = now + self.rng.below(4000);
        }
        if self.rng.below(3000) == 0 {
            router.controller = self.rng.below(4) as usize;
        }
    }

    fn send_request(&mut self, at: usize) {
        if let StalenessBound::AtLeast(min_version) = self.routers[at].bounds.bound_for(0, "m", "r", self.now) {
            self.outcome.violations += u32::from(min_version < self.acknowledged);
        }
    }

    fn send(&mut self, at: u64, packet: Packet) {
        self.in_transit.push(Delivery { at, packet });
    }

    /// Delivers what is due, in the order in which it was sent. One packet in fifty is lost.
    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            mem::take(&mut self.in_transit).into_iter().partition(|delivery| delivery.at <= now);
        self.in_transit = rest;
        for delivery in due {
            if self.rng.below(50) != 0 {
                self.receive(delivery.packet);
            }
        }
    }

    fn receive(&mut self, packet: Packet) {
        match packet {
            Packet::Renewal { router, sent, version } => self.answer_renewal(router, sent, version),
            // A router that sleeps reads it when it wakes.
            Packet::Renewed { router, .. } | Packet::Update { router, .. }
                if self.now < self.routers[router].asleep_until =>
            {
                self.send(self.routers[router].asleep_until + 1, packet);
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
        let arrival = now + 1 + self.rng.below(60);
        if version < known_version {
            self.send(arrival, Packet::Update { router, version: known_version });
        }
        self.send(arrival, Packet::Renewed { router, sent, confirmed });
    }

    /// Commits a raise, one at a time, and may lose its owner in the middle.
    fn raise(&mut self) {
        if self.acknowledged == self.version && self.rng.below(700) == 0 {
            (self.version, self.committed_at) = (self.version + 1, self.now);
            self.controllers[0].known_version = self.version;
            if self.rng.below(4) == 0 {
                // A controller restarts just then.
                let at = 1 + self.rng.below(3) as usize;
                self.controllers[at] = Controller::restarted(self.now);
            }
        }
        // The owner is lost in the middle of a raise: the next one waits from the beginning.
        if self.acknowledged < self.version && self.rng.below(1500) == 0 {
            self.committed_at = self.now;
        }
    }

    /// Acknowledges the raise once all routers have it or could be waited out.
    fn acknowledge(&mut self) {
        let (now, version, fault) = (self.now, self.version, self.fault);
        let at_once = fault == Fault::AcknowledgedAtOnce;
        if self.acknowledged >= version || !(at_once || (now - self.committed_at).is_multiple_of(60)) {
            return;
        }
        let is_late = now >= self.committed_at + ACKNOWLEDGEMENT_WAIT_MS;
        let is_settled = |controller: &Controller| {
            (now < controller.disconnected_until && is_late) || controller.has_confirmed(version, now, fault)
        };
        if at_once || self.controllers.iter().all(is_settled) {
            self.acknowledged = version;
            self.outcome.acknowledgements += 1;
        }
    }
}
