//! Decides which controllers a router calls, and when. A pure state machine: callers pass in the current time.
//!
//! One controller is the *home*: the preferred controller, with which the router renews its lease at a fixed interval
//! and which pushes changes. The goal is to keep `current_as_of` recent: the time as of which the configuration that
//! the router holds is proved to be current. Once that is too long ago, or the home is unresponsive, other controllers
//! are called too (hedged calls): at once the next in the router's order and a member of the core, then one more after
//! each gap. The first one that gives a fresh proof becomes the home.

use std::collections::BTreeMap;

use kernel::ConvergenceBudget;

use crate::subscription::candidates::{BackoffReason, Candidates};
use crate::subscription::pacing::{next_soft_timeout, CallOutcome, Pacing, INITIAL_SOFT_TIMEOUT_MS};
use crate::subscription::response::{Assessment, RenewalResponse};

#[path = "scheduler_calls.rs"]
mod calls;

/// A call to start now. The caller reports its end through `on_response`, or through `on_failure` after `timeout_ms` at
/// the latest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The address of the controller.
    pub controller: String,
    /// The timeout of the call, in milliseconds.
    pub timeout_ms: u64,
}

/// A call whose end has not been reported.
#[derive(Clone, Debug)]
struct OpenCall {
    sent_at: u64,
    deadline_at: u64,
    /// The end of the soft timeout. If the response may be large, no other controller is called before then.
    soft_deadline_at: u64,
    soft_timed_out: bool,
}

/// The preferred controller.
#[derive(Clone, Debug)]
struct Home {
    controller: String,
    renew_at: u64,
    /// The time of the last early renewal because of a lost frame.
    early_renewal_at: Option<u64>,
    /// Whether its last call failed.
    failed: bool,
    /// Whether it is a controller of an older version.
    is_older_version: bool,
}

/// Decides which controllers are called. Invariants: at most one call to a controller is open; `current_as_of` never
/// decreases, and the router holds every change that was acknowledged before it.
#[derive(Clone, Debug)]
pub struct SubscriptionScheduler {
    budget: ConvergenceBudget,
    candidates: Candidates,
    home: Option<Home>,
    open_calls: BTreeMap<String, OpenCall>,
    pacing: Pacing,
    /// The number of calls to each controller in the current series of hedged calls.
    attempts: BTreeMap<String, u32>,
    soft_timeout_ms: u64,
    current_as_of: Option<i64>,
    applied_revision: u64,
    ready: bool,
    proof_requested: bool,
    frames_lost_at: Option<u64>,
}

impl SubscriptionScheduler {
    /// Returns the initial scheduler of a process, which knows the seeds only.
    pub fn new(budget: ConvergenceBudget, node_name: &str, own_ip: &str, seeds: &[String]) -> SubscriptionScheduler {
        SubscriptionScheduler {
            budget,
            candidates: Candidates::new(node_name, own_ip, seeds),
            home: None,
            open_calls: Default::default(),
            pacing: Pacing::default(),
            attempts: Default::default(),
            soft_timeout_ms: INITIAL_SOFT_TIMEOUT_MS,
            current_as_of: None,
            applied_revision: 0,
            ready: false,
            proof_requested: false,
            frames_lost_at: None,
        }
    }

    /// Returns the home controller.
    pub fn home(&self) -> Option<&str> {
        self.home.as_ref().map(|home| home.controller.as_str())
    }

    /// Returns the time before which every acknowledged change is held by the router; `None` before the first proof.
    pub fn current_as_of(&self) -> Option<i64> {
        self.current_as_of
    }

    /// Returns whether a response of this controller is still awaited. A call may be abandoned before its timeout, once
    /// its response is no longer needed.
    pub fn has_open_call(&self, controller: &str) -> bool {
        self.open_calls.contains_key(controller)
    }

    /// Replaces the seed controllers.
    pub fn set_seeds(&mut self, seeds: &[String]) {
        self.candidates.set_seeds(seeds);
    }

    /// Records that the router is ready, which makes renewals less frequent.
    pub fn set_ready(&mut self) {
        self.ready = true;
    }

    /// Records that client requests wait for a proof. Their number makes no difference.
    pub fn request_proof(&mut self) {
        self.proof_requested = true;
    }

    /// Makes a renewal with the home due at once, because a pushed change has to be confirmed.
    pub fn renew_now(&mut self) {
        if let Some(home) = &mut self.home {
            home.renew_at = 0;
        }
    }

    /// Records that frames may have been dropped on this side.
    pub fn on_frames_lost(&mut self, now: u64) {
        self.frames_lost_at = Some(now);
        self.renew_early(now);
    }

    /// Makes a renewal with the home due at once; repeated early renewals are one hedging gap apart.
    fn renew_early(&mut self, now: u64) {
        let gap = self.budget.hedge_gap_ms();
        if let Some(home) = &mut self.home {
            let renew_at = home.early_renewal_at.map_or(now, |last| now.max(last + gap));
            home.renew_at = home.renew_at.min(renew_at);
            home.early_renewal_at = Some(renew_at);
        }
    }

    /// Handles the response of a controller, whose state update has already been applied.
    pub fn on_response(&mut self, now: u64, controller: &str, response: &RenewalResponse) {
        let Some(call) = self.open_calls.remove(controller) else { return };
        let hedging_needed = self.needs_hedging(now);
        let is_nearer_than_home = self.home().is_some_and(|home| self.candidates.is_nearer(controller, home, now));
        self.soft_timeout_ms = next_soft_timeout(self.soft_timeout_ms, CallOutcome::Responded);
        self.candidates.update(&response.controllers, &response.core_members);
        if self.applied_revision == 0 && response.applied_revision > 0 {
            // No other controller needs to continue to send the whole configuration.
            self.open_calls.clear();
        }
        self.applied_revision = response.applied_revision;
        let assessment = response.assess(call.sent_at, self.frames_lost_at);
        let is_fresh = self.apply_proof(assessment, response.is_from_older_version(), now);
        if is_fresh {
            self.candidates.end_backoff(controller, now);
        }
        match &mut self.home {
            Some(home) if home.controller == controller => {
                (home.failed, home.is_older_version) = (false, response.is_from_older_version())
            }
            Some(home) if !home.failed && !(is_fresh && (hedging_needed || is_nearer_than_home)) => {
                if !is_fresh {
                    self.candidates.back_off(controller, BackoffReason::Unproved, now);
                }
                return;
            }
            _ => self.change_home(controller, &call, response.is_from_older_version(), hedging_needed, now),
        }
        if assessment == Assessment::FrameLost {
            self.renew_early(now);
        }
    }

    /// Applies what a response proves, and returns whether the controller qualifies as the home.
    fn apply_proof(&mut self, assessment: Assessment, is_older_version: bool, now: u64) -> bool {
        match assessment {
            Assessment::Unproved => false,
            Assessment::FrameLost => true,
            Assessment::CurrentAsOf(as_of) => {
                self.current_as_of = self.current_as_of.max(Some(as_of));
                now as i64 <= as_of + self.hedge_age_ms(is_older_version) as i64
            }
        }
    }

    /// Makes a controller the home. If hedging was needed, the previous home is put in backoff.
    fn change_home(
        &mut self,
        controller: &str,
        call: &OpenCall,
        is_older_version: bool,
        hedging_needed: bool,
        now: u64,
    ) {
        if let Some(previous) = self.home.take().filter(|_| hedging_needed) {
            let reason = if previous.failed { BackoffReason::Unresponsive } else { BackoffReason::Unproved };
            self.candidates.back_off(&previous.controller, reason, now);
        }
        let renew_at = call.sent_at + self.renewal_interval_ms();
        self.home = Some(Home {
            controller: controller.into(),
            renew_at,
            early_renewal_at: None,
            failed: false,
            is_older_version,
        });
    }

    /// Handles a call that ended without a response: there was no connection, or it timed out.
    pub fn on_failure(&mut self, now: u64, controller: &str) {
        self.record_soft_timeouts(now);
        let Some(call) = self.open_calls.remove(controller) else { return };
        if now < call.deadline_at {
            self.soft_timeout_ms = next_soft_timeout(self.soft_timeout_ms, CallOutcome::Unreachable);
        }
        self.candidates.back_off(controller, BackoffReason::Unresponsive, now);
        match self.home.as_mut().filter(|home| home.controller == controller) {
            Some(home) => home.failed = true,
            None if now < call.deadline_at => self.pacing.record_failure(),
            None => {}
        }
    }
}

#[cfg(test)]
#[path = "scheduler_tests.rs"]
mod tests;
