//! The router as it was before hedged calls, as a broken variant for tests: one home at a time, with waits that
//! do not go by the bounds.

use std::collections::BTreeMap;

use crate::subscription::response::{Answer, Proof, Worth};
use crate::subscription::scheduler::Call;
use crate::testing::subscription_world::Policy;

const BEAT_MS: u64 = 400;
const CALL_MS: u64 = 700;
const FIRST_CALL_MS: u64 = 1500;
const UNSURE_MS: u64 = 1200;
const SURE_MS: u64 = 1100;
const PASSED_OVER_MS: u64 = 5000;
const PAUSE_MS: u64 = 30;

pub struct SingleHome {
    order: Vec<String>,
    passed_over: BTreeMap<String, u64>,
    home: String,
    sent: Option<u64>,
    call_at: u64,
    sure_at: u64,
    misses: u32,
    settled: bool,
    current_as_of: Option<i64>,
}

impl SingleHome {
    pub fn new(order: &[String]) -> SingleHome {
        SingleHome {
            order: order.to_vec(),
            passed_over: Default::default(),
            home: order[0].clone(),
            sent: None,
            call_at: 0,
            sure_at: 0,
            misses: 0,
            settled: false,
            current_as_of: None,
        }
    }

    fn leave(&mut self, now: u64) {
        self.passed_over.insert(self.home.clone(), now + PASSED_OVER_MS);
        let until = |ip: &String| self.passed_over.get(ip).copied().filter(|until| *until > now).unwrap_or(0);
        self.home = self.order.iter().min_by_key(|ip| until(ip)).expect("a controller").clone();
        (self.sure_at, self.misses, self.settled, self.call_at) = (now, 0, false, now + PAUSE_MS);
    }
}

impl Policy for SingleHome {
    fn due(&mut self, now: u64) -> Vec<Call> {
        if self.sent.is_some() || now < self.call_at {
            return Vec::new();
        }
        self.sent = Some(now);
        let deadline_ms = if self.settled { CALL_MS } else { FIRST_CALL_MS };
        vec![Call { controller: self.home.clone(), deadline_ms }]
    }

    fn wake_at(&self, now: u64) -> u64 {
        if self.sent.is_none() {
            self.call_at.max(now + 1)
        } else {
            now + 1000
        }
    }

    fn answered(&mut self, now: u64, _: &str, answer: &Answer) {
        let sent = self.sent.take().expect("a call is open");
        (self.misses, self.settled, self.call_at) = (0, true, now + BEAT_MS);
        let sure = matches!(answer.proof, Proof::Confirmed { age_ms, .. } if age_ms < SURE_MS);
        if sure {
            self.sure_at = now;
        }
        if let Worth::CurrentAsOf(as_of) = answer.worth(sent, None) {
            self.current_as_of = self.current_as_of.max(Some(as_of));
        }
        if now > self.sure_at + UNSURE_MS {
            self.leave(now);
        }
    }

    fn failed(&mut self, now: u64, _: &str) {
        self.sent = None;
        self.misses += 1;
        self.call_at = now + BEAT_MS;
        if !self.settled || self.misses >= 2 || now > self.sure_at + UNSURE_MS {
            self.leave(now);
        }
    }

    fn current_as_of(&self) -> Option<i64> {
        self.current_as_of
    }
}
