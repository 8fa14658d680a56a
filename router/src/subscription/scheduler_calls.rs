//! Which calls are begun: renewals at the home, and hedged calls beside it.

use std::mem;

use super::{Call, OpenCall, SubscriptionScheduler};
use crate::subscription::candidates::{BackoffReason, List};
use crate::subscription::pacing::{next_patience, Outcome, MAX_PATIENCE_MS};
use crate::subscription::response::OLDER_CONTROLLER_CONFIRMATION_AGE_MS;

/// The renewal interval is divided by this until the router is ready: what it lacks may arrive at any moment.
const UNREADY_DIVISOR: u64 = 4;
/// How many hedged calls are begun at once when the home begins to fail.
const INITIAL_HEDGES: u32 = 2;
/// One in so many hedged calls goes to the next in the router's order, the others to members of the core.
const OWN_ORDER_PERIOD: u32 = 3;
/// How many calls with large responses may be open at once while nothing is held.
const MAX_INITIAL_BULK_CALLS: usize = 1;
/// The same once something is held.
const MAX_BULK_CALLS: usize = 2;
/// The longest time until the scheduler is consulted again, in milliseconds.
const MAX_IDLE_MS: u64 = 1000;

impl SubscriptionScheduler {
    /// Returns the calls to begin now.
    pub fn due_calls(&mut self, now: u64) -> Vec<Call> {
        self.record_exceeded_patience(now);
        let mut calls = Vec::new();
        if let Some(home) =
            self.home.as_ref().filter(|home| now >= home.renew_at && !self.has_open_call(&home.controller))
        {
            calls.push(self.begin_call(home.controller.clone(), now));
        }
        if self.needs_hedging(now) {
            self.begin_hedged_calls(now, &mut calls);
            return calls;
        }
        self.proof_requested = false;
        if self.pacing.record_proof(&self.budget, now) {
            self.attempts.clear();
        }
        if let Some(nearer) = self.nearer_than_home(now) {
            calls.push(self.begin_call(nearer, now));
        }
        calls
    }

    /// Returns when `due_calls` is to be consulted again if nothing is reported before.
    pub fn wake_at(&self, now: u64) -> u64 {
        let mut times = vec![now + MAX_IDLE_MS];
        if let Some(home) = &self.home {
            let silent_at = |call: &OpenCall| call.sent_at + self.budget.timeout_ms() + 1;
            times.push(self.open_calls.get(&home.controller).map_or(home.renew_at, silent_at));
        }
        match self.current_as_of.filter(|_| !self.needs_hedging(now)) {
            Some(as_of) => times.push((as_of + self.home_hedge_age_ms() as i64 + 1).max(0) as u64),
            None => times.push(self.next_hedge_at(now)),
        }
        times.extend(self.open_calls.values().map(|call| call.patience_ends_at));
        times.into_iter().filter(|time| *time > now).min().unwrap_or(now + MAX_IDLE_MS)
    }

    /// Records a call as open and returns it.
    fn begin_call(&mut self, controller: String, now: u64) -> Call {
        let interval = self.renewal_interval_ms();
        if let Some(home) = self.home.as_mut().filter(|home| home.controller == controller) {
            home.renew_at = now + interval;
        }
        let timeout_ms = if self.expects_bulk_response(now) { MAX_PATIENCE_MS } else { self.patience_ms };
        let (deadline_at, patience_ends_at) = (now + timeout_ms, now + self.patience_ms);
        self.open_calls.insert(
            controller.clone(),
            OpenCall { sent_at: now, deadline_at, patience_ends_at, patience_exceeded: false },
        );
        Call { controller, timeout_ms }
    }

    /// Returns the pause between two renewals, in milliseconds.
    pub(super) fn renewal_interval_ms(&self) -> u64 {
        let interval = self.budget.renewal_interval_ms();
        if self.ready {
            return interval;
        }
        interval / UNREADY_DIVISOR
    }

    /// Returns how old a proof may be before others are asked, in milliseconds. One from a controller of an older
    /// version is never fresh, so that the usual age there is allowed.
    pub(super) fn hedge_age_ms(&self, is_older_version: bool) -> u64 {
        let budget = &self.budget;
        let age = budget.hedge_age_ms();
        if !is_older_version {
            return age;
        }
        let usual = OLDER_CONTROLLER_CONFIRMATION_AGE_MS + budget.renewal_interval_ms() + budget.response_ms();
        age.max(usual)
    }

    /// Returns `hedge_age_ms` for the home of now.
    fn home_hedge_age_ms(&self) -> u64 {
        self.hedge_age_ms(self.home.as_ref().is_some_and(|home| home.is_older_version))
    }

    /// Returns whether the proof is at most `age_ms` old.
    fn is_current(&self, now: u64, age_ms: u64) -> bool {
        self.current_as_of.is_some_and(|as_of| now as i64 <= as_of + age_ms as i64)
    }

    /// Returns whether the home is not enough to stay current.
    pub(super) fn needs_hedging(&self, now: u64) -> bool {
        let Some(home) = &self.home else { return true };
        let silence_ms = self.budget.timeout_ms();
        let silent = self.open_calls.get(&home.controller).is_some_and(|call| now > call.sent_at + silence_ms);
        home.failed || silent || !self.is_current(now, self.home_hedge_age_ms())
    }

    /// Returns whether the state held is so old that a response may contain the whole configuration.
    fn expects_bulk_response(&self, now: u64) -> bool {
        self.held_revision == 0 || !self.is_current(now, self.budget.bulk_age_ms())
    }

    /// Begins hedged calls if one is due.
    fn begin_hedged_calls(&mut self, now: u64, calls: &mut Vec<Call>) {
        if now < self.next_hedge_at(now) {
            return;
        }
        let first = self.pacing.attempts() == 0 && !self.expects_bulk_response(now);
        for _ in 0..if first { INITIAL_HEDGES } else { 1 } {
            let controller = self.next_hedge_target(now);
            self.pacing.record_attempt(now);
            self.proof_requested = false;
            let Some(controller) = controller else { return };
            *self.attempts.entry(controller.clone()).or_default() += 1;
            calls.push(self.begin_call(controller, now));
        }
    }

    /// Returns the earliest time of the next hedged call.
    fn next_hedge_at(&self, now: u64) -> u64 {
        let at = self.pacing.next_at(&self.budget, self.proof_requested);
        if !self.expects_bulk_response(now) {
            return at;
        }
        let max_calls = if self.held_revision == 0 { MAX_INITIAL_BULK_CALLS } else { MAX_BULK_CALLS };
        let patience_ends = self.open_calls.values().map(|call| call.patience_ends_at).filter(|until| now < *until);
        let mut patience_ends: Vec<u64> = patience_ends.collect();
        patience_ends.sort_unstable();
        let free_at = patience_ends.len().checked_sub(max_calls).map_or(0, |at| patience_ends[at]);
        at.max(free_at)
    }

    /// Returns the controller of the next hedged call, neither the home nor one with an open call. A member of the
    /// core is always among the first two; later, members in backoff stand behind others that are not.
    fn next_hedge_target(&self, now: u64) -> Option<String> {
        let offset = self.pacing.attempts() % OWN_ORDER_PERIOD;
        let own_order_offset = if self.expects_bulk_response(now) { OWN_ORDER_PERIOD - 1 } else { 0 };
        let attempts = |controller: &str| {
            let free = !self.has_open_call(controller) && self.home() != Some(controller);
            free.then(|| self.attempts.get(controller).copied().unwrap_or(0))
        };
        let next = self.candidates.pick(List::OwnOrder, now, attempts);
        let member = self.candidates.pick(List::Core, now, attempts).filter(|_| offset != own_order_offset);
        let is_backed_off = |controller: &Option<String>| {
            controller.as_ref().is_none_or(|controller| self.candidates.is_backed_off(controller, now))
        };
        let prefers_own_order =
            self.pacing.attempts() >= INITIAL_HEDGES && is_backed_off(&member) && !is_backed_off(&next);
        if prefers_own_order {
            return next;
        }
        member.or(next)
    }

    /// Returns a controller that is nearer than the home and not in backoff: once all is well the router goes back
    /// to it.
    fn nearer_than_home(&self, now: u64) -> Option<String> {
        let nearest = self.candidates.nearest(now)?;
        let nearer = self.candidates.is_nearer(nearest, self.home()?, now);
        (nearer && !self.has_open_call(nearest)).then(|| nearest.clone())
    }

    /// Records calls that exceeded their patience: whoever is asked next gets more time.
    pub(super) fn record_exceeded_patience(&mut self, now: u64) {
        let home = self.home.as_ref().map(|home| home.controller.as_str());
        for (controller, call) in self.open_calls.iter_mut().filter(|(_, call)| now >= call.patience_ends_at) {
            if mem::replace(&mut call.patience_exceeded, true) {
                continue;
            }
            let outcome = if home == Some(controller) { Outcome::Unresponsive } else { Outcome::Slow };
            self.patience_ms = next_patience(self.patience_ms, outcome);
            self.candidates.back_off(controller, BackoffReason::Unresponsive, now);
        }
    }
}

#[cfg(test)]
#[path = "scheduler_calls_tests.rs"]
mod tests;
