//! Controllers in virtual time, for tests of the state machine that decides which of them are asked.

use kernel::settings::Bounds;
use kernel::ConvergenceBudget;

use crate::subscription::response::{Proof, RenewalResponse};
use crate::subscription::scheduler::{Call, SubscriptionScheduler};

/// A dial that meets silence is given up after this.
const DIAL_MS: u64 = 500;

/// How a controller takes a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers after `answer_ms` what it confirmed `age_ms` before.
    Healthy { answer_ms: u64, age_ms: u64 },
    /// As healthy, but a frame is lost on the way: the answer confirms more than has come.
    LosingFrames { answer_ms: u64 },
    /// It answers, and has not been able to confirm anything since a time.
    UnconfirmedSince(u64),
    /// It is of an older version, and sure.
    Older { answer_ms: u64 },
    /// Its machine takes the connection and says nothing.
    Frozen,
    /// Nothing comes back from its machine.
    Unreachable,
    /// Its process is gone, its machine is not.
    Refusing,
}

/// What decides which controllers are called.
pub trait Policy {
    fn due_calls(&mut self, now: u64) -> Vec<Call>;
    fn wake_at(&self, now: u64) -> u64;
    fn on_response(&mut self, now: u64, controller: &str, answer: &RenewalResponse);
    fn on_failure(&mut self, now: u64, controller: &str);
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

/// The end of a call that is under way.
struct FinishedCall {
    at: u64,
    controller: String,
    answer: Option<RenewalResponse>,
}

/// A call as it was begun.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at: u64,
    pub controller: String,
}

/// One router and its controllers.
pub struct World<P> {
    pub now: u64,
    pub policy: P,
    pub controllers: Vec<String>,
    pub members: Vec<String>,
    /// The revision held by the router.
    pub held: u64,
    pub begun: Vec<Begun>,
    /// The oldest that the proof ever was, since there is one.
    pub oldest_proof: i64,
    under_way: Vec<FinishedCall>,
}

pub fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|at| format!("{prefix}{at}")).collect()
}

pub fn budget(converge_ms: u64) -> ConvergenceBudget {
    ConvergenceBudget::new(&Bounds { converge_ms, ..Default::default() })
}

impl World<SubscriptionScheduler> {
    /// A ready router whose order is `k0`, `k1`, ...; from `k4` on every third controller is a member of the core.
    pub fn new(converge_ms: u64, controllers: usize) -> World<SubscriptionScheduler> {
        let controllers = names("k", controllers);
        let mut scheduler = SubscriptionScheduler::new(budget(converge_ms), "edge-1", "k0", &controllers[..1]);
        scheduler.set_ready();
        World::with(scheduler, controllers)
    }
}

impl<P: Policy> World<P> {
    pub fn with(policy: P, controllers: Vec<String>) -> World<P> {
        let members = controllers.iter().skip(4).step_by(3).cloned().collect();
        let (begun, under_way) = (Vec::new(), Vec::new());
        World { now: 1000, policy, controllers, members, held: 7, begun, oldest_proof: 0, under_way }
    }

    /// Until a time; `behaviour` says how each controller takes a call that begins at a time.
    pub fn run(&mut self, until: u64, mut behaviour: impl FnMut(&str, u64) -> Behaviour) {
        self.run_by_held(until, |controller, now, _| behaviour(controller, now));
    }

    /// As `run`; `behaviour` is also told which revision the router holds.
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

    pub fn proof_age(&self) -> Option<i64> {
        self.policy.current_as_of().map(|as_of| self.now as i64 - as_of)
    }

    fn note_proof_age(&mut self) {
        self.oldest_proof = self.oldest_proof.max(self.proof_age().unwrap_or(0));
    }

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

    /// The most calls that were begun within any span of this length, from a time on.
    pub fn most_calls_within(&self, span_ms: u64, from: u64) -> usize {
        let times: Vec<u64> = self.begun.iter().map(|begun| begun.at).filter(|at| *at >= from).collect();
        let within = |begin: u64| times.iter().filter(|at| (begin..begin + span_ms).contains(at)).count();
        times.iter().map(|begin| within(*begin)).max().unwrap_or(0)
    }
}
