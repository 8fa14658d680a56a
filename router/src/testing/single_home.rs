//! The policy of routers before hedged calls, which tests expect to miss the bounds: one home controller at a time,
//! with timeouts that do not depend on the convergence budget.

use std::collections::BTreeMap;

use crate::subscription::response::{Assessment, Proof, RenewalResponse};
use crate::subscription::scheduler::Call;
use crate::testing::subscription_world::Policy;

/// The interval between two calls to the home, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 400;
/// The timeout of a call to a home that has responded before, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;
/// The timeout of a call to a home that has not responded yet, in milliseconds.
const FIRST_CALL_TIMEOUT_MS: u64 = 1500;
/// How long the home may confirm nothing before it is left, in milliseconds.
const MAX_UNCONFIRMED_MS: u64 = 1200;
/// The age below which a confirmation counts, in milliseconds.
const MAX_CONFIRMATION_AGE_MS: u64 = 1100;
/// The backoff of a controller that was left, in milliseconds.
const BACKOFF_MS: u64 = 5000;
/// The delay before the first call to a new home, in milliseconds.
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
    /// Returns the policy of a router that tries the controllers in this order.
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

    /// Puts the home in backoff and makes the next controller the home.
    fn change_home(&mut self, now: u64) {
        self.backoffs.insert(self.home.clone(), now + BACKOFF_MS);
        let backoff_until = |ip: &String| self.backoffs.get(ip).copied().filter(|until| *until > now).unwrap_or(0);
        self.home = self.order.iter().min_by_key(|ip| backoff_until(ip)).expect("the order is not empty").clone();
        (self.confirmed_at, self.failures, self.has_responded, self.call_at) = (now, 0, false, now + RETRY_DELAY_MS);
    }
}

impl Policy for SingleHome {
    fn due_calls(&mut self, now: u64) -> Vec<Call> {
        if self.sent_at.is_some() || now < self.call_at {
            return Vec::new();
        }
        self.sent_at = Some(now);
        let timeout_ms = if self.has_responded { CALL_TIMEOUT_MS } else { FIRST_CALL_TIMEOUT_MS };
        vec![Call { controller: self.home.clone(), timeout_ms }]
    }

    fn wake_at(&self, now: u64) -> u64 {
        if self.sent_at.is_none() {
            self.call_at.max(now + 1)
        } else {
            now + 1000
        }
    }

    fn on_response(&mut self, now: u64, _: &str, response: &RenewalResponse) {
        let sent_at = self.sent_at.take().expect("a call is open");
        (self.failures, self.has_responded, self.call_at) = (0, true, now + RENEWAL_INTERVAL_MS);
        let is_confirmed =
            matches!(response.proof, Proof::Confirmed { age_ms, .. } if age_ms < MAX_CONFIRMATION_AGE_MS);
        if is_confirmed {
            self.confirmed_at = now;
        }
        if let Assessment::CurrentAsOf(as_of) = response.assess(sent_at, None) {
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
