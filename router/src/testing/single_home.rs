//! The router as it was before hedged calls, as a broken variant for tests: one home controller at a time, with
//! timeouts that do not follow the convergence budget.

use std::collections::BTreeMap;

use crate::subscription::response::{Assessment, Proof, RenewalResponse};
use crate::subscription::scheduler::Call;
use crate::testing::subscription_world::Policy;

const RENEWAL_INTERVAL_MS: u64 = 400;
const CALL_MS: u64 = 700;
const FIRST_CALL_MS: u64 = 1500;
const MAX_UNCONFIRMED_MS: u64 = 1200;
const MAX_CONFIRMATION_AGE_MS: u64 = 1100;
const BACKOFF_MS: u64 = 5000;
const RETRY_DELAY_MS: u64 = 30;

/// Calls one controller at a time.
pub struct SingleHome {
    order: Vec<String>,
    backoffs: BTreeMap<String, u64>,
    home: String,
    sent_at: Option<u64>,
    call_at: u64,
    confirmed_at: u64,
    failures: u32,
    has_responded: bool,
    current_as_of: Option<i64>,
}

impl SingleHome {
    /// Returns the policy of a router with this order of controllers.
    pub fn new(order: &[String]) -> SingleHome {
        SingleHome {
            order: order.to_vec(),
            backoffs: Default::default(),
            home: order[0].clone(),
            sent_at: None,
            call_at: 0,
            confirmed_at: 0,
            failures: 0,
            has_responded: false,
            current_as_of: None,
        }
    }

    /// Leaves the home for the next controller.
    fn change_home(&mut self, now: u64) {
        self.backoffs.insert(self.home.clone(), now + BACKOFF_MS);
        let until = |ip: &String| self.backoffs.get(ip).copied().filter(|until| *until > now).unwrap_or(0);
        self.home = self.order.iter().min_by_key(|ip| until(ip)).expect("a controller").clone();
        (self.confirmed_at, self.failures, self.has_responded, self.call_at) = (now, 0, false, now + RETRY_DELAY_MS);
    }
}

impl Policy for SingleHome {
    fn due_calls(&mut self, now: u64) -> Vec<Call> {
        if self.sent_at.is_some() || now < self.call_at {
            return Vec::new();
        }
        self.sent_at = Some(now);
        let timeout_ms = if self.has_responded { CALL_MS } else { FIRST_CALL_MS };
        vec![Call { controller: self.home.clone(), timeout_ms }]
    }

    fn wake_at(&self, now: u64) -> u64 {
        if self.sent_at.is_none() {
            self.call_at.max(now + 1)
        } else {
            now + 1000
        }
    }

    fn on_response(&mut self, now: u64, _: &str, answer: &RenewalResponse) {
        let sent_at = self.sent_at.take().expect("a call is open");
        (self.failures, self.has_responded, self.call_at) = (0, true, now + RENEWAL_INTERVAL_MS);
        let is_confirmed = matches!(answer.proof, Proof::Confirmed { age_ms, .. } if age_ms < MAX_CONFIRMATION_AGE_MS);
        if is_confirmed {
            self.confirmed_at = now;
        }
        if let Assessment::CurrentAsOf(as_of) = answer.assess(sent_at, None) {
            self.current_as_of = self.current_as_of.max(Some(as_of));
        }
        if now > self.confirmed_at + MAX_UNCONFIRMED_MS {
            self.change_home(now);
        }
    }

    fn on_failure(&mut self, now: u64, _: &str) {
        self.sent_at = None;
        self.failures += 1;
        self.call_at = now + RENEWAL_INTERVAL_MS;
        if !self.has_responded || self.failures >= 2 || now > self.confirmed_at + MAX_UNCONFIRMED_MS {
            self.change_home(now);
        }
    }

    fn current_as_of(&self) -> Option<i64> {
        self.current_as_of
    }
}
