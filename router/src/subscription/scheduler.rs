//! Which controllers a router asks, and when: a pure state machine, time comes in with every call.
//!
//! One controller is the *home*: the router's lease is renewed there on a beat, and it pushes changes. What counts is
//! not the home but `current_as_of`, the time as of which the configuration held here is proved to be current.
//! Once that is too long ago, or the home is silent, others are asked beside it (hedged calls): at once the next
//! in the router's own order and a member of the core, then one more every gap. The first that proves enough is
//! the home from then on.

use std::collections::BTreeMap;

use kernel::ConvergenceBudget;

use crate::subscription::candidates::{Candidates, Fault};
use crate::subscription::pacing::{patience, Outcome, Pace, PATIENCE_MS};
use crate::subscription::response::{Answer, Worth};

#[path = "scheduler_calls.rs"]
mod calls;

/// A call to be begun now. Who makes it reports its end: `answered`, or `failed` after `deadline_ms` at the latest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub controller: String,
    pub deadline_ms: u64,
}

#[derive(Clone, Debug)]
struct OpenCall {
    sent: u64,
    deadline: u64,
    /// Until then nobody else is asked for the same where it may be long.
    patient_until: u64,
    waited_in_vain: bool,
}

#[derive(Clone, Debug)]
struct Home {
    controller: String,
    renew_at: u64,
    /// When it was last called again because of a lost frame.
    recalled_at: Option<u64>,
    /// Its last call failed.
    failed: bool,
    /// It answers as controllers of an older version do.
    older: bool,
}

/// Invariants: at most one call to a controller is open; `current_as_of` never goes back, and all that was
/// acknowledged before it is held here.
#[derive(Clone, Debug)]
pub struct Following {
    budget: ConvergenceBudget,
    candidates: Candidates,
    home: Option<Home>,
    open: BTreeMap<String, OpenCall>,
    pace: Pace,
    /// How often each was asked since all was well.
    asked: BTreeMap<String, u32>,
    patience_ms: u64,
    current_as_of: Option<i64>,
    held: u64,
    ready: bool,
    proof_wanted: bool,
    frames_lost_at: Option<u64>,
}

impl Following {
    /// A fresh process, which knows the seeds only.
    pub fn new(budget: ConvergenceBudget, node_name: &str, own_ip: &str, seeds: &[String]) -> Following {
        Following {
            budget,
            candidates: Candidates::new(node_name, own_ip, seeds),
            home: None,
            open: Default::default(),
            pace: Pace::default(),
            asked: Default::default(),
            patience_ms: PATIENCE_MS,
            current_as_of: None,
            held: 0,
            ready: false,
            proof_wanted: false,
            frames_lost_at: None,
        }
    }

    pub fn home(&self) -> Option<&str> {
        self.home.as_ref().map(|home| home.controller.as_str())
    }

    /// All that was acknowledged before this time is held here. None: nothing is proved yet.
    pub fn current_as_of(&self) -> Option<i64> {
        self.current_as_of
    }

    /// Is an answer of this controller still waited for? A call may end here before its time, once it is of no use.
    pub fn is_open(&self, controller: &str) -> bool {
        self.open.contains_key(controller)
    }

    pub fn set_seeds(&mut self, seeds: &[String]) {
        self.candidates.set_seeds(seeds);
    }

    pub fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Requests wait for a proof, however many they are.
    pub fn want_proof(&mut self) {
        self.proof_wanted = true;
    }

    /// Something came whose confirmation is waited for: the home is called without waiting for the beat.
    pub fn renew_now(&mut self) {
        if let Some(home) = &mut self.home {
            home.renew_at = 0;
        }
    }

    /// Frames may have been dropped on this side.
    pub fn frames_lost(&mut self, now: u64) {
        self.frames_lost_at = Some(now);
        self.recall(now);
    }

    /// The home is called again at once; when that does not help, no faster than others are asked.
    fn recall(&mut self, now: u64) {
        let gap = self.budget.hedge_gap_ms();
        if let Some(home) = &mut self.home {
            let at = home.recalled_at.map_or(now, |last| now.max(last + gap));
            home.renew_at = home.renew_at.min(at);
            home.recalled_at = Some(at);
        }
    }

    /// A controller answered, and what it sent is taken in.
    pub fn answered(&mut self, now: u64, controller: &str, answer: &Answer) {
        let Some(call) = self.open.remove(controller) else { return };
        let others_needed = self.needs_others(now);
        let nearer = self.home().is_some_and(|home| self.candidates.is_nearer(controller, home, now));
        self.patience_ms = patience(self.patience_ms, Outcome::Answered);
        self.candidates.learn(&answer.controllers, &answer.members);
        if self.held == 0 && answer.held > 0 {
            // Nobody else need go on sending the whole configuration.
            self.open.clear();
        }
        self.held = answer.held;
        let worth = answer.worth(call.sent, self.frames_lost_at);
        let good = self.take_proof(worth, answer.is_older(), now);
        if good {
            self.candidates.restore(controller, now);
        }
        match &mut self.home {
            Some(home) if home.controller == controller => (home.failed, home.older) = (false, answer.is_older()),
            Some(home) if !home.failed && !(good && (others_needed || nearer)) => {
                if !good {
                    self.candidates.pass_over(controller, Fault::Unproved, now);
                }
                return;
            }
            _ => self.move_home(controller, &call, answer.is_older(), others_needed, now),
        }
        if worth == Worth::FrameLost {
            self.recall(now);
        }
    }

    /// True: the controller is as good a home as any.
    fn take_proof(&mut self, worth: Worth, older: bool, now: u64) -> bool {
        match worth {
            Worth::Nothing => false,
            Worth::FrameLost => true,
            Worth::CurrentAsOf(as_of) => {
                self.current_as_of = self.current_as_of.max(Some(as_of));
                now as i64 <= as_of + self.hedge_age_ms(older) as i64
            }
        }
    }

    fn move_home(&mut self, controller: &str, call: &OpenCall, older: bool, others_needed: bool, now: u64) {
        if let Some(left) = self.home.take().filter(|_| others_needed) {
            let fault = if left.failed { Fault::Lost } else { Fault::Unproved };
            self.candidates.pass_over(&left.controller, fault, now);
        }
        let renew_at = call.sent + self.renewal_interval_ms();
        self.home = Some(Home { controller: controller.into(), renew_at, recalled_at: None, failed: false, older });
    }

    /// A call ended without an answer: no connection, or none in its time.
    pub fn failed(&mut self, now: u64, controller: &str) {
        self.note_waited_in_vain(now);
        let Some(call) = self.open.remove(controller) else { return };
        if now < call.deadline {
            self.patience_ms = patience(self.patience_ms, Outcome::Unreached);
        }
        self.candidates.pass_over(controller, Fault::Lost, now);
        match self.home.as_mut().filter(|home| home.controller == controller) {
            Some(home) => home.failed = true,
            None if now < call.deadline => self.pace.note_failure(),
            None => {}
        }
    }
}

#[cfg(test)]
#[path = "scheduler_tests.rs"]
mod tests;
