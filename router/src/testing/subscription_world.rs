//! A simulation of one router and its controllers in virtual time, for tests of the state machine that decides which
//! controllers are called.

use kernel::settings::Bounds;
use kernel::ConvergenceBudget;

use crate::subscription::response::{Proof, RenewalResponse};
use crate::subscription::scheduler::{Call, SubscriptionScheduler};

/// The timeout of a dial, in milliseconds.
const DIAL_TIMEOUT_MS: u64 = 500;

/// How a controller handles a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds after `response_ms` with a confirmation that is `age_ms` old.
    Healthy { response_ms: u64, age_ms: u64 },
    /// As `Healthy`, but a frame is lost on the way: the response confirms a newer revision than has arrived.
    LosingFrames { response_ms: u64 },
    /// Responds, but has not been able to confirm anything since this time.
    UnconfirmedSince(u64),
    /// Responds as a controller of an older version, which confirms without an age.
    Older { response_ms: u64 },
    /// Accepts the connection and never responds.
    Frozen,
    /// Its machine does not respond: dials time out.
    Unreachable,
    /// Its process is not running, but its machine is: connections are refused.
    Refusing,
}

/// Decides which controllers are called.
pub trait Policy {
    /// Returns the calls to start now.
    fn due_calls(&mut self, now: u64) -> Vec<Call>;
    /// Returns when `due_calls` is to be called again if nothing happens before then.
    fn wake_at(&self, now: u64) -> u64;
    /// Handles a response.
    fn on_response(&mut self, now: u64, controller: &str, response: &RenewalResponse);
    /// Handles a call that failed.
    fn on_failure(&mut self, now: u64, controller: &str);
    /// Returns the time as of which the configuration is proved to be current.
    fn current_as_of(&self) -> Option<i64>;
}

impl Policy for SubscriptionScheduler {
    fn due_calls(&mut self, now: u64) -> Vec<Call> {
        SubscriptionScheduler::due_calls(self, now)
    }

    fn wake_at(&self, now: u64) -> u64 {
        SubscriptionScheduler::wake_at(self, now)
    }

    fn on_response(&mut self, now: u64, controller: &str, response: &RenewalResponse) {
        SubscriptionScheduler::on_response(self, now, controller, response);
    }

    fn on_failure(&mut self, now: u64, controller: &str) {
        SubscriptionScheduler::on_failure(self, now, controller);
    }

    fn current_as_of(&self) -> Option<i64> {
        SubscriptionScheduler::current_as_of(self)
    }
}

/// A call in flight, with the time and the outcome of its end.
struct FinishedCall {
    at: u64,
    controller: String,
    response: Option<RenewalResponse>,
}

/// A call that was started.
#[derive(Clone, Debug)]
pub struct StartedCall {
    /// When it was started.
    pub at: u64,
    /// The controller that was called.
    pub controller: String,
}

/// The state of a simulation of one router and its controllers.
pub struct World<P> {
    /// The virtual time, in milliseconds.
    pub now: u64,
    /// The policy that decides which controllers are called.
    pub policy: P,
    /// All controllers, in the order of the router.
    pub controllers: Vec<String>,
    /// The members of the core.
    pub members: Vec<String>,
    /// The configuration revision that the router holds.
    pub applied_revision: u64,
    /// All calls so far.
    pub started_calls: Vec<StartedCall>,
    /// The greatest age of the proof so far, in milliseconds.
    pub oldest_proof: i64,
    in_flight: Vec<FinishedCall>,
}

/// Returns `count` names: `prefix0`, `prefix1`, ...
pub fn numbered_names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| format!("{prefix}{index}")).collect()
}

/// Returns the budget of a convergence bound in milliseconds.
pub fn budget(converge_ms: u64) -> ConvergenceBudget {
    ConvergenceBudget::new(&Bounds { converge_ms, ..Default::default() })
}

impl World<SubscriptionScheduler> {
    /// Returns the simulation of a ready router whose order of controllers is `k0`, `k1`, ...; from `k4` on every third
    /// controller is a member of the core.
    pub fn new(converge_ms: u64, controllers: usize) -> World<SubscriptionScheduler> {
        let controllers = numbered_names("k", controllers);
        let mut scheduler = SubscriptionScheduler::new(budget(converge_ms), "edge-1", "k0", &controllers[..1]);
        scheduler.set_ready();
        World::with(scheduler, controllers)
    }
}

impl<P: Policy> World<P> {
    /// Returns the simulation of a router with this policy.
    pub fn with(policy: P, controllers: Vec<String>) -> World<P> {
        let members = controllers.iter().skip(4).step_by(3).cloned().collect();
        let (started_calls, in_flight) = (Vec::new(), Vec::new());
        World {
            now: 1000,
            policy,
            controllers,
            members,
            applied_revision: 7,
            started_calls,
            oldest_proof: 0,
            in_flight,
        }
    }

    /// Runs until a time. `behaviour` returns how a controller handles a call that is started at a given time.
    pub fn run(&mut self, until: u64, mut behaviour: impl FnMut(&str, u64) -> Behaviour) {
        self.run_by_revision(until, |controller, now, _| behaviour(controller, now));
    }

    /// As `run`; `behaviour` also gets the revision that the router holds.
    pub fn run_by_revision(&mut self, until: u64, mut behaviour: impl FnMut(&str, u64, u64) -> Behaviour) {
        while self.now < until {
            self.end_calls();
            self.record_proof_age();
            for call in self.policy.due_calls(self.now) {
                let finished = self.finished_call(&call, behaviour(&call.controller, self.now, self.applied_revision));
                self.started_calls.push(StartedCall { at: self.now, controller: call.controller });
                self.in_flight.push(finished);
            }
            let wake_at = self.policy.wake_at(self.now);
            assert!(wake_at > self.now, "the policy asks to be called again at once: endless loop");
            let next_end = self.in_flight.iter().map(|call| call.at).min().unwrap_or(u64::MAX);
            self.now = wake_at.min(next_end).min(until).max(self.now);
            self.record_proof_age();
        }
    }

    /// Reports the calls that have ended.
    fn end_calls(&mut self) {
        while let Some(index) = self.in_flight.iter().position(|call| call.at <= self.now) {
            let finished = self.in_flight.remove(index);
            match finished.response {
                Some(response) => {
                    self.applied_revision = self.applied_revision.max(response.applied_revision);
                    let response = RenewalResponse { applied_revision: self.applied_revision, ..response };
                    self.policy.on_response(self.now, &finished.controller, &response);
                }
                None => self.policy.on_failure(self.now, &finished.controller),
            }
        }
    }

    /// Returns the age of the proof, in milliseconds.
    pub fn proof_age(&self) -> Option<i64> {
        self.policy.current_as_of().map(|as_of| self.now as i64 - as_of)
    }

    /// Updates the greatest age of the proof.
    fn record_proof_age(&mut self) {
        self.oldest_proof = self.oldest_proof.max(self.proof_age().unwrap_or(0));
    }

    /// Returns the call with its end, which follows from the behaviour of the controller.
    fn finished_call(&self, call: &Call, behaviour: Behaviour) -> FinishedCall {
        let controller = call.controller.clone();
        let failure = |after_ms: u64| FinishedCall {
            at: self.now + after_ms.min(call.timeout_ms),
            controller: controller.clone(),
            response: None,
        };
        let confirmed = |age_ms| Proof::Confirmed { age_ms, config_revision: 7 };
        let (after_ms, proof, applied_revision) = match behaviour {
            Behaviour::Frozen => return failure(call.timeout_ms),
            Behaviour::Unreachable => return failure(DIAL_TIMEOUT_MS),
            Behaviour::Refusing => return failure(1),
            Behaviour::Healthy { response_ms, age_ms } => (response_ms, confirmed(age_ms), 7),
            Behaviour::LosingFrames { response_ms } => {
                (response_ms, Proof::Confirmed { age_ms: 0, config_revision: u64::MAX }, 7)
            }
            Behaviour::UnconfirmedSince(since) => (5, confirmed(self.now.saturating_sub(since)), 7),
            Behaviour::Older { response_ms } => (response_ms, Proof::ConfirmedByOlderVersion, 7),
        };
        if after_ms > call.timeout_ms {
            return failure(call.timeout_ms);
        }
        let response = RenewalResponse {
            proof,
            applied_revision,
            controllers: self.controllers.clone(),
            core_members: self.members.clone(),
        };
        FinishedCall { at: self.now + after_ms, controller, response: Some(response) }
    }

    /// Returns the most calls that were started within any period of this length, from a time on.
    pub fn most_calls_within(&self, period_ms: u64, from: u64) -> usize {
        let times: Vec<u64> = self.started_calls.iter().map(|call| call.at).filter(|at| *at >= from).collect();
        let count_from = |start: u64| times.iter().filter(|at| (start..start + period_ms).contains(at)).count();
        times.iter().map(|start| count_from(*start)).max().unwrap_or(0)
    }
}
