//! Starts calls: renewals with the home, and hedged calls to other controllers.

use std::mem;

use super::{Call, OpenCall, SubscriptionScheduler};
use crate::subscription::candidates::{BackoffReason, CandidateList};
use crate::subscription::pacing::{next_soft_timeout, CallOutcome, MAX_SOFT_TIMEOUT_MS};
use crate::subscription::response::OLDER_CONTROLLER_CONFIRMATION_AGE_MS;

/// Divides the renewal interval until the router is ready, so that it soon gets what it still lacks.
const UNREADY_INTERVAL_DIVISOR: u64 = 4;
/// How many hedged calls are started at once when the home begins to fail.
const INITIAL_HEDGES: u32 = 2;
/// One out of this many hedged calls goes to the next in the router's order, the others to core members.
const ROUTER_ORDER_PERIOD: u32 = 3;
/// How many calls with large responses may be within their soft timeout at once, before the router holds any
/// configuration.
const MAX_INITIAL_BULK_CALLS: usize = 1;
/// The same limit once the router holds a configuration.
const MAX_BULK_CALLS: usize = 2;
/// The maximum time until the scheduler is polled again, in milliseconds.
const MAX_IDLE_MS: u64 = 1000;

impl SubscriptionScheduler {
    /// Returns the calls to start now.
    pub fn due_calls(&mut self, now: u64) -> Vec<Call> {
        self.record_soft_timeouts(now);
        let mut calls = Vec::new();
        if let Some(home) =
            self.home.as_ref().filter(|home| now >= home.renew_at && !self.has_open_call(&home.controller))
        {
            calls.push(self.start_call(home.controller.clone(), now));
        }
        if self.needs_hedging(now) {
            self.start_hedged_calls(now, &mut calls);
            return calls;
        }
        self.proof_requested = false;
        if self.pacing.record_proof(&self.budget, now) {
            self.attempts.clear();
        }
        if let Some(nearer) = self.nearer_than_home(now) {
            calls.push(self.start_call(nearer, now));
        }
        calls
    }

    /// Returns when `due_calls` is to be called again if nothing is reported before then.
    pub fn wake_at(&self, now: u64) -> u64 {
        let mut times = vec![now + MAX_IDLE_MS];
        if let Some(home) = &self.home {
            let unresponsive_at = |call: &OpenCall| call.sent_at + self.budget.timeout_ms() + 1;
            times.push(self.open_calls.get(&home.controller).map_or(home.renew_at, unresponsive_at));
        }
        match self.current_as_of.filter(|_| !self.needs_hedging(now)) {
            Some(as_of) => times.push((as_of + self.home_hedge_age_ms() as i64 + 1).max(0) as u64),
            None => times.push(self.next_hedge_at(now)),
        }
        times.extend(self.open_calls.values().map(|call| call.soft_deadline_at));
        times.into_iter().filter(|time| *time > now).min().unwrap_or(now + MAX_IDLE_MS)
    }

    /// Records a call as open and returns it.
    fn start_call(&mut self, controller: String, now: u64) -> Call {
        let interval = self.renewal_interval_ms();
        if let Some(home) = self.home.as_mut().filter(|home| home.controller == controller) {
            home.renew_at = now + interval;
        }
        let timeout_ms = if self.expects_bulk_response(now) { MAX_SOFT_TIMEOUT_MS } else { self.soft_timeout_ms };
        let (deadline_at, soft_deadline_at) = (now + timeout_ms, now + self.soft_timeout_ms);
        self.open_calls.insert(
            controller.clone(),
            OpenCall { sent_at: now, deadline_at, soft_deadline_at, soft_timed_out: false },
        );
        Call { controller, timeout_ms }
    }

    /// Returns the interval between renewals, in milliseconds.
    pub(super) fn renewal_interval_ms(&self) -> u64 {
        let interval = self.budget.renewal_interval_ms();
        if self.ready {
            return interval;
        }
        interval / UNREADY_INTERVAL_DIVISOR
    }

    /// Returns the age of the proof, in milliseconds, above which other controllers are called. A proof from a
    /// controller of an older version is never fresh, so its usual age is allowed.
    pub(super) fn hedge_age_ms(&self, is_older_version: bool) -> u64 {
        let budget = &self.budget;
        let age_ms = budget.hedge_age_ms();
        if !is_older_version {
            return age_ms;
        }
        let usual_ms = OLDER_CONTROLLER_CONFIRMATION_AGE_MS + budget.renewal_interval_ms() + budget.response_ms();
        age_ms.max(usual_ms)
    }

    /// Returns `hedge_age_ms` for the current home.
    fn home_hedge_age_ms(&self) -> u64 {
        self.hedge_age_ms(self.home.as_ref().is_some_and(|home| home.is_older_version))
    }

    /// Returns whether the proof is at most `age_ms` old.
    fn is_current(&self, now: u64, age_ms: u64) -> bool {
        self.current_as_of.is_some_and(|as_of| now as i64 <= as_of + age_ms as i64)
    }

    /// Returns whether calls to the home alone do not keep the router current.
    pub(super) fn needs_hedging(&self, now: u64) -> bool {
        let Some(home) = &self.home else { return true };
        let timeout_ms = self.budget.timeout_ms();
        let is_unresponsive = self.open_calls.get(&home.controller).is_some_and(|call| now > call.sent_at + timeout_ms);
        home.failed || is_unresponsive || !self.is_current(now, self.home_hedge_age_ms())
    }

    /// Returns whether the router's state is so old that a response may contain the whole configuration.
    fn expects_bulk_response(&self, now: u64) -> bool {
        self.applied_revision == 0 || !self.is_current(now, self.budget.bulk_age_ms())
    }

    /// Starts hedged calls if they are due.
    fn start_hedged_calls(&mut self, now: u64, calls: &mut Vec<Call>) {
        if now < self.next_hedge_at(now) {
            return;
        }
        let is_first_attempt = self.pacing.attempts() == 0 && !self.expects_bulk_response(now);
        for _ in 0..if is_first_attempt { INITIAL_HEDGES } else { 1 } {
            let controller = self.next_hedge_target(now);
            self.pacing.record_attempt(now);
            self.proof_requested = false;
            let Some(controller) = controller else { return };
            *self.attempts.entry(controller.clone()).or_default() += 1;
            calls.push(self.start_call(controller, now));
        }
    }

    /// Returns the earliest time of the next hedged call.
    fn next_hedge_at(&self, now: u64) -> u64 {
        let paced_at = self.pacing.next_at(&self.budget, self.proof_requested);
        if !self.expects_bulk_response(now) {
            return paced_at;
        }
        let max_calls = if self.applied_revision == 0 { MAX_INITIAL_BULK_CALLS } else { MAX_BULK_CALLS };
        let deadlines = self.open_calls.values().map(|call| call.soft_deadline_at).filter(|deadline| now < *deadline);
        let mut deadlines: Vec<u64> = deadlines.collect();
        deadlines.sort_unstable();
        let free_at = deadlines.len().checked_sub(max_calls).map_or(0, |index| deadlines[index]);
        paced_at.max(free_at)
    }

    /// Returns the controller of the next hedged call, which is neither the home nor one with an open call. One of the
    /// first two is always a member of the core; later, other controllers come before members that are in backoff.
    fn next_hedge_target(&self, now: u64) -> Option<String> {
        let offset = self.pacing.attempts() % ROUTER_ORDER_PERIOD;
        let router_order_offset = if self.expects_bulk_response(now) { ROUTER_ORDER_PERIOD - 1 } else { 0 };
        let attempts = |controller: &str| {
            let is_free = !self.has_open_call(controller) && self.home() != Some(controller);
            is_free.then(|| self.attempts.get(controller).copied().unwrap_or(0))
        };
        let next_in_order = self.candidates.pick(CandidateList::RouterOrder, now, attempts);
        let member = self.candidates.pick(CandidateList::Core, now, attempts).filter(|_| offset != router_order_offset);
        let is_backed_off = |controller: &Option<String>| {
            controller.as_ref().is_none_or(|controller| self.candidates.is_backed_off(controller, now))
        };
        let prefers_router_order =
            self.pacing.attempts() >= INITIAL_HEDGES && is_backed_off(&member) && !is_backed_off(&next_in_order);
        if prefers_router_order {
            return next_in_order;
        }
        member.or(next_in_order)
    }

    /// Returns a controller that is nearer than the home and not in backoff. The router returns to it when it needs no
    /// hedged calls.
    fn nearer_than_home(&self, now: u64) -> Option<String> {
        let nearest = self.candidates.nearest(now)?;
        let is_nearer = self.candidates.is_nearer(nearest, self.home()?, now);
        (is_nearer && !self.has_open_call(nearest)).then(|| nearest.clone())
    }

    /// Records the calls that exceeded their soft timeout: the next controller gets more time.
    pub(super) fn record_soft_timeouts(&mut self, now: u64) {
        let home = self.home.as_ref().map(|home| home.controller.as_str());
        for (controller, call) in self.open_calls.iter_mut().filter(|(_, call)| now >= call.soft_deadline_at) {
            if mem::replace(&mut call.soft_timed_out, true) {
                continue;
            }
            let outcome = if home == Some(controller) { CallOutcome::Unresponsive } else { CallOutcome::Slow };
            self.soft_timeout_ms = next_soft_timeout(self.soft_timeout_ms, outcome);
            self.candidates.back_off(controller, BackoffReason::Unresponsive, now);
        }
    }
}

#[cfg(test)]
#[path = "scheduler_calls_tests.rs"]
mod tests;
