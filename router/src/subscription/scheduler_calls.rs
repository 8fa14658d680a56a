//! Which calls are begun: renewals at the home, and others asked beside it.

use std::mem;

use super::{Call, Following, OpenCall};
use crate::subscription::candidates::{Fault, List};
use crate::subscription::pacing::{patience, Outcome, PATIENCE_MOST_MS};
use crate::subscription::response::OLDER_CONTROLLER_SURE_MS;

/// Until it is ready a router renews more often: what it lacks may come any moment.
const UNREADY_DIVISOR: u64 = 4;
/// How many are asked at once when the home begins to fail.
const ASKED_AT_ONCE: u32 = 2;
/// One in so many of those asked is the next in the router's order, the others are members of the core.
const ORDER_TURN: u32 = 3;
/// How many calls may be open whose answers may be long: while nothing is held, and later.
const LONG_ANSWERS_AT_FIRST: usize = 1;
const LONG_ANSWERS: usize = 2;
/// The machine is looked at again after this at the latest.
const IDLE_MS: u64 = 1000;

impl Following {
    /// The calls to begin now.
    pub fn due(&mut self, now: u64) -> Vec<Call> {
        self.note_waited_in_vain(now);
        let mut calls = Vec::new();
        if let Some(home) = self.home.as_ref().filter(|home| now >= home.renew_at && !self.is_open(&home.controller)) {
            calls.push(self.begin(home.controller.clone(), now));
        }
        if self.needs_others(now) {
            self.ask_others(now, &mut calls);
            return calls;
        }
        self.proof_wanted = false;
        if self.pace.note_proof(&self.budget, now) {
            self.asked.clear();
        }
        if let Some(nearer) = self.nearer_than_home(now) {
            calls.push(self.begin(nearer, now));
        }
        calls
    }

    /// When `due` is to be looked at again, if nothing is reported before.
    pub fn wake_at(&self, now: u64) -> u64 {
        let mut times = vec![now + IDLE_MS];
        if let Some(home) = &self.home {
            let silent_at = |call: &OpenCall| call.sent + self.budget.timeout_ms() + 1;
            times.push(self.open.get(&home.controller).map_or(home.renew_at, silent_at));
        }
        match self.current_as_of.filter(|_| !self.needs_others(now)) {
            Some(as_of) => times.push((as_of + self.home_hedge_age_ms() as i64 + 1).max(0) as u64),
            None => times.push(self.next_ask_at(now)),
        }
        times.extend(self.open.values().map(|call| call.patient_until));
        times.into_iter().filter(|time| *time > now).min().unwrap_or(now + IDLE_MS)
    }

    fn begin(&mut self, controller: String, now: u64) -> Call {
        let interval = self.renewal_interval_ms();
        if let Some(home) = self.home.as_mut().filter(|home| home.controller == controller) {
            home.renew_at = now + interval;
        }
        let deadline_ms = if self.answers_may_be_long(now) { PATIENCE_MOST_MS } else { self.patience_ms };
        let (deadline, patient_until) = (now + deadline_ms, now + self.patience_ms);
        self.open.insert(controller.clone(), OpenCall { sent: now, deadline, patient_until, waited_in_vain: false });
        Call { controller, deadline_ms }
    }

    pub(super) fn renewal_interval_ms(&self) -> u64 {
        let interval = self.budget.renewal_interval_ms();
        if self.ready {
            return interval;
        }
        interval / UNREADY_DIVISOR
    }

    /// How old a proof may be before others are asked. One from a controller of an older version is never young.
    pub(super) fn hedge_age_ms(&self, older: bool) -> u64 {
        let budget = &self.budget;
        let age = budget.hedge_age_ms();
        if !older {
            return age;
        }
        let usual = OLDER_CONTROLLER_SURE_MS + budget.renewal_interval_ms() + budget.response_ms();
        age.max(usual)
    }

    fn home_hedge_age_ms(&self) -> u64 {
        self.hedge_age_ms(self.home.as_ref().is_some_and(|home| home.older))
    }

    fn is_current(&self, now: u64, age_ms: u64) -> bool {
        self.current_as_of.is_some_and(|as_of| now as i64 <= as_of + age_ms as i64)
    }

    /// Is the home not enough to stay current?
    pub(super) fn needs_others(&self, now: u64) -> bool {
        let Some(home) = &self.home else { return true };
        let silence_ms = self.budget.timeout_ms();
        let silent = self.open.get(&home.controller).is_some_and(|call| now > call.sent + silence_ms);
        home.failed || silent || !self.is_current(now, self.home_hedge_age_ms())
    }

    /// Does what is held lie so far back that an answer may hold the whole configuration?
    fn answers_may_be_long(&self, now: u64) -> bool {
        self.held == 0 || !self.is_current(now, self.budget.bulk_age_ms())
    }

    fn ask_others(&mut self, now: u64, calls: &mut Vec<Call>) {
        if now < self.next_ask_at(now) {
            return;
        }
        let first = self.pace.asks() == 0 && !self.answers_may_be_long(now);
        for _ in 0..if first { ASKED_AT_ONCE } else { 1 } {
            let controller = self.next_to_ask(now);
            self.pace.note_ask(now);
            self.proof_wanted = false;
            let Some(controller) = controller else { return };
            *self.asked.entry(controller.clone()).or_default() += 1;
            calls.push(self.begin(controller, now));
        }
    }

    fn next_ask_at(&self, now: u64) -> u64 {
        let at = self.pace.next_at(&self.budget, self.proof_wanted);
        if !self.answers_may_be_long(now) {
            return at;
        }
        let most = if self.held == 0 { LONG_ANSWERS_AT_FIRST } else { LONG_ANSWERS };
        let waited_for = self.open.values().map(|call| call.patient_until).filter(|until| now < *until);
        let mut waited_for: Vec<u64> = waited_for.collect();
        waited_for.sort_unstable();
        let free_at = waited_for.len().checked_sub(most).map_or(0, |at| waited_for[at]);
        at.max(free_at)
    }

    /// Neither the home nor one that is being asked. A member of the core is always among the first two; later
    /// members that were passed over stand back behind others that were not.
    fn next_to_ask(&self, now: u64) -> Option<String> {
        let turn = self.pace.asks() % ORDER_TURN;
        let order_turn = if self.answers_may_be_long(now) { ORDER_TURN - 1 } else { 0 };
        let times_asked = |controller: &str| {
            let free = !self.is_open(controller) && self.home() != Some(controller);
            free.then(|| self.asked.get(controller).copied().unwrap_or(0))
        };
        let next = self.candidates.pick(List::Order, now, times_asked);
        let member = self.candidates.pick(List::Core, now, times_asked).filter(|_| turn != order_turn);
        let passed_over = |controller: &Option<String>| {
            controller.as_ref().is_none_or(|controller| self.candidates.is_passed_over(controller, now))
        };
        let stands_back = self.pace.asks() >= ASKED_AT_ONCE && passed_over(&member) && !passed_over(&next);
        if stands_back {
            return next;
        }
        member.or(next)
    }

    /// A controller nearer than the home that is not passed over: all being well, the router goes back to it.
    fn nearer_than_home(&self, now: u64) -> Option<String> {
        let nearest = self.candidates.nearest(now)?;
        let nearer = self.candidates.is_nearer(nearest, self.home()?, now);
        (nearer && !self.is_open(nearest)).then(|| nearest.clone())
    }

    /// Whoever is waited for in vain is followed by one that gets more time.
    pub(super) fn note_waited_in_vain(&mut self, now: u64) {
        let home = self.home.as_ref().map(|home| home.controller.as_str());
        for (controller, call) in self.open.iter_mut().filter(|(_, call)| now >= call.patient_until) {
            if mem::replace(&mut call.waited_in_vain, true) {
                continue;
            }
            let outcome = if home == Some(controller) { Outcome::Silent } else { Outcome::Slow };
            self.patience_ms = patience(self.patience_ms, outcome);
            self.candidates.pass_over(controller, Fault::Lost, now);
        }
    }
}

#[cfg(test)]
#[path = "scheduler_calls_tests.rs"]
mod tests;
