//! A simulation of controllers in virtual time, for tests of the state machine that decides which of them are
//! called.

use kernel::settings::Bounds;
use kernel::ConvergenceBudget;

use crate::subscription::response::{Proof, RenewalResponse};
use crate::subscription::scheduler::{Call, SubscriptionScheduler};

/// A dial that gets no answer ends after this, in milliseconds.
const DIAL_MS: u64 = 500;

/// How a controller handles a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds after `answer_ms` with a confirmation that is `age_ms` old.
    Healthy { answer_ms: u64, age_ms: u64 },
    /// As healthy, but a frame is lost on the way: the response confirms more than has arrived.
    LosingFrames { answer_ms: u64 },
    /// Responds, and has not been able to confirm anything since a time.
    UnconfirmedSince(u64),
    /// Is of an older version, and confirms without an age.
    Older { answer_ms: u64 },
    /// Accepts the connection and never responds.
    Frozen,
    /// Nothing comes back from its machine.
    Unreachable,
    /// Its process is gone, its machine is not: connections are refused.
    Refusing,
}

/// Decides which controllers are called.
pub trait Policy {
    /// Returns the calls to begin now.
    fn due_calls(&mut self, now: u64) -> Vec<Call>;
    /// Returns when `due_calls` is to be consulted again.
    fn wake_at(&self, now: u64) -> u64;
    /// Handles a response.
    fn on_response(&mut self, now: u64, controller: &str, answer: &RenewalResponse);
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

    fn on_response(&mut self, now: u64, controller: &str, answer: &RenewalResponse) {
        SubscriptionScheduler::on_response(self, now, controller, answer);
    }

    fn on_failure(&mut self, now: u64, controller: &str) {
        SubscriptionScheduler::on_failure(self, now, controller);
    }

    fn current_as_of(&self) -> Option<i64> {
        SubscriptionScheduler::current_as_of(self)
    }
}

/// The end of a call that is in flight.
struct FinishedCall {
    at: u64,
    controller: String,
    answer: Option<RenewalResponse>,
}

/// A call as it was begun.
#[derive(Clone, Debug)]
pub struct Begun {
    /// When it was begun.
    pub at: u64,
    /// The controller that was called.
    pub controller: String,
}

/// One router and its controllers.
pub struct World<P> {
    /// The virtual time, in milliseconds.
    pub now: u64,
    /// What decides which controllers are called.
    pub policy: P,
    /// All controllers, in the order of the router.
    pub controllers: Vec<String>,
    /// The members of the core.
    pub members: Vec<String>,
    /// The revision held by the router.
    pub held: u64,
    /// All calls so far.
    pub begun: Vec<Begun>,
    /// The greatest age that the proof has had since there is one, in milliseconds.
    pub oldest_proof: i64,
    under_way: Vec<FinishedCall>,
}

/// Returns the names `prefix0`, `prefix1`, ...
pub fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|at| format!("{prefix}{at}")).collect()
}

/// Returns the convergence budget of a bound in milliseconds.
pub fn budget(converge_ms: u64) -> ConvergenceBudget {
    ConvergenceBudget::new(&Bounds { converge_ms, ..Default::default() })
}

impl World<SubscriptionScheduler> {
    /// Returns the world of a ready router whose order is `k0`, `k1`, ...; from `k4` on every third controller is a
    /// member of the core.
    pub fn new(converge_ms: u64, controllers: usize) -> World<SubscriptionScheduler> {
        let controllers = names("k", controllers);
        let mut scheduler = SubscriptionScheduler::new(budget(converge_ms), "edge-1", "k0", &controllers[..1]);
        scheduler.set_ready();
        World::with(scheduler, controllers)
    }
}

impl<P: Policy> World<P> {
    /// Returns the world of a router that follows a policy.
    pub fn with(policy: P, controllers: Vec<String>) -> World<P> {
        let members = controllers.iter().skip(4).step_by(3).cloned().collect();
        let (begun, under_way) = (Vec::new(), Vec::new());
        World { now: 1000, policy, controllers, members, held: 7, begun, oldest_proof: 0, under_way }
    }

    /// Runs until a time; `behaviour` says how each controller handles a call that begins at a time.
    pub fn run(&mut self, until: u64, mut behaviour: impl FnMut(&str, u64) -> Behaviour) {
        self.run_by_held(until, |controller, now, _| behaviour(controller, now));
    }

    /// Runs as `run` does; `behaviour` also gets the revision that the router holds.
    pub fn run_by_held(&mut self, until: u64, mut behaviour: impl FnMut(&str, u64, u64) -> Behaviour) {
        while self.now < until {
            self.end_calls();
            self.note_proof_age();
            for call in self.policy.due_calls(self.now) {
                let end = self.end_of(&call, behaviour(&call.controller, self.now, self.held));
                self.begun.push(Begun { at: self.now, controller: call.controller });
                self.under_way.push(end);
            }
            let wake_at = self.policy.wake_at(self.now);
            assert!(wake_at > self.now, "it would be looked at again without end");
            let next_end = self.under_way.iter().map(|end| end.at).min().unwrap_or(u64::MAX);
            self.now = wake_at.min(next_end).min(until).max(self.now);
            self.note_proof_age();
        }
    }

    /// Reports the calls that have ended.
    fn end_calls(&mut self) {
        while let Some(at) = self.under_way.iter().position(|end| end.at <= self.now) {
            let end = self.under_way.remove(at);
            match end.answer {
                Some(answer) => {
                    self.held = self.held.max(answer.held_revision);
                    let answer = RenewalResponse { held_revision: self.held, ..answer };
                    self.policy.on_response(self.now, &end.controller, &answer);
                }
                None => self.policy.on_failure(self.now, &end.controller),
            }
        }
    }

    /// Returns the age of the proof, in milliseconds.
    pub fn proof_age(&self) -> Option<i64> {
        self.policy.current_as_of().map(|as_of| self.now as i64 - as_of)
    }

    /// Keeps the greatest age of the proof.
    fn note_proof_age(&mut self) {
        self.oldest_proof = self.oldest_proof.max(self.proof_age().unwrap_or(0));
    }

    /// Returns the end of a call under a behaviour.
    fn end_of(&self, call: &Call, behaviour: Behaviour) -> FinishedCall {
        let controller = call.controller.clone();
        let failure = |after: u64| FinishedCall {
            at: self.now + after.min(call.timeout_ms),
            controller: controller.clone(),
            answer: None,
        };
        let confirmed = |age_ms| Proof::Confirmed { age_ms, config_revision: 7 };
        let (after, proof, held) = match behaviour {
            Behaviour::Frozen => return failure(call.timeout_ms),
            Behaviour::Unreachable => return failure(DIAL_MS),
            Behaviour::Refusing => return failure(1),
            Behaviour::Healthy { answer_ms, age_ms } => (answer_ms, confirmed(age_ms), 7),
            Behaviour::LosingFrames { answer_ms } => {
                (answer_ms, Proof::Confirmed { age_ms: 0, config_revision: u64::MAX }, 7)
            }
            Behaviour::UnconfirmedSince(time) => (5, confirmed(self.now.saturating_sub(time)), 7),
            Behaviour::Older { answer_ms } => (answer_ms, Proof::ConfirmedByOlderVersion, 7),
        };
        if after > call.timeout_ms {
            return failure(call.timeout_ms);
        }
        let answer = RenewalResponse {
            proof,
            held_revision: held,
            controllers: self.controllers.clone(),
            core_members: self.members.clone(),
        };
        FinishedCall { at: self.now + after, controller, answer: Some(answer) }
    }

    /// Returns the most calls that were begun within any span of this length, from a time on.
    pub fn most_calls_within(&self, span_ms: u64, from: u64) -> usize {
        let times: Vec<u64> = self.begun.iter().map(|begun| begun.at).filter(|at| *at >= from).collect();
        let within = |begin: u64| times.iter().filter(|at| (begin..begin + span_ms).contains(at)).count();
        times.iter().map(|begin| within(*begin)).max().unwrap_or(0)
    }
}
