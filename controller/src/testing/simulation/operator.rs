//! Operators that change the configuration, evacuate zones and read back, and send again what got no
//! clear answer.

use consensus::Decision;
use protocol::operator_request::ConfigChange;

use super::changes::Purpose;
use super::network::{Address, Packet};
use super::{bodies, Cluster, Guards};
use crate::api::operator_requests;
use crate::config::body::{BodyFormat, CommittedChange, StoredConfig};
use crate::config::change::{self, ChangeDecision, ConfigChangeError, ParsedChange};
use crate::replication::committed_state::CONFIG_KEY;

/// How long an operator waits for an answer, and a controller for an outcome.
const IO_TIMEOUT_MS: u64 = 1000;
const CHANGE_MS: u64 = 2000;
const EVACUATE_MS: u64 = operator_requests::EVACUATION_TIMEOUT_MS;
const UNHEARD_CLOSE_ONE_OF: u64 = 4;
const CARRIED_OUT_TWICE_ONE_OF: u64 = 3;
pub const EVACUATION: &str = "evacuation/z";

#[derive(Clone, Debug)]
pub enum OperatorAction {
    Change(ConfigChange),
    Evacuate(bool),
    /// Relayed: on top of a version.
    EvacuateFrom(bool, u64),
    Read,
}

/// One order of one operator, sent once or more often. Invariant: `number` is new for each order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub operator: usize,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Good,
    /// The configuration, as a read found it.
    Found {
        revision: u64,
        taken: Vec<CommittedChange>,
    },
    Refused,
    /// No clear outcome: to be sent again.
    Unclear,
}

/// Invariant: at most one order is under way.
pub struct Operator {
    number: usize,
    orders: u64,
    revision: u64,
    current: Option<(Attempt, OperatorAction)>,
    /// Where the order was sent last.
    asked: Option<usize>,
    resend: u64,
    next_order: u64,
    pub active: bool,
}

impl Operator {
    pub fn new(number: usize) -> Operator {
        Operator {
            number,
            orders: 0,
            revision: 0,
            current: None,
            asked: None,
            resend: 0,
            next_order: 200,
            active: true,
        }
    }
}

impl Cluster {
    pub fn run_operator(&mut self, number: usize) {
        let now = self.now;
        let operator = &mut self.operators[number];
        if operator.current.is_none() && operator.active && now >= operator.next_order {
            self.choose_order(number);
        }
        let operator = &mut self.operators[number];
        if operator.current.is_some() && now >= operator.resend {
            operator.resend = now + IO_TIMEOUT_MS;
            self.send_order(number);
        }
    }

    fn choose_order(&mut self, number: usize) {
        let lot = self.random.below(10);
        let operator = &mut self.operators[number];
        operator.orders += 1;
        let attempt = Attempt { operator: number, number: operator.orders };
        let order = match lot {
            0 | 1 => OperatorAction::Read,
            // One operator only, so that what it was told last is what holds.
            2 | 3 if number == 0 => OperatorAction::Evacuate(self.random.below(2) == 0),
            _ => {
                let (order, base) = (operator.orders, operator.revision);
                let body = match self.mixed_orders {
                    true => bodies::draw(&mut self.random, number as u64, order, base),
                    false => bodies::whole(&mut self.random, number as u64, order, base),
                };
                if !body.valid {
                    self.history.invalid(attempt);
                }
                OperatorAction::Change(body.change)
            }
        };
        operator.current = Some((attempt, order.clone()));
        operator.resend = self.now;
        self.history.begun(attempt, order);
    }

    /// To any machine that is there, as far as the operator's old list tells. The connection to the one asked
    /// before is closed.
    fn send_order(&mut self, number: usize) {
        let Some((attempt, order)) = self.operators[number].current.clone() else { return };
        // The operator's own machine or path may be gone: then nobody hears that it gave up.
        let before = self.operators[number].asked.take().filter(|_| self.random.below(UNHEARD_CLOSE_ONE_OF) > 0);
        if let Some(before) = before {
            self.send(Address::Operator(number), Address::Node(before), Packet::Close(attempt));
        }
        let there: Vec<usize> = self.nodes.iter().filter(|node| !node.removed).map(|node| node.at).collect();
        let to = there[self.random.below(there.len() as u64) as usize];
        self.operators[number].asked = Some(to);
        if self.mixed_orders && self.random.below(CARRIED_OUT_TWICE_ONE_OF) == 0 {
            // The one asked relays it to the home of its key, hears nothing, and carries it out too.
            let other = there[self.random.below(there.len() as u64) as usize];
            let relayed = match order {
                OperatorAction::Evacuate(on) if self.guards.versioned_evacuations => {
                    OperatorAction::EvacuateFrom(on, self.nodes[to].evacuation().version)
                }
                _ => order.clone(),
            };
            self.send(Address::Node(to), Address::Node(other), Packet::OperatorAction(attempt, relayed));
        }
        self.send(Address::Operator(number), Address::Node(to), Packet::OperatorAction(attempt, order));
    }

    /// The caller is gone: its call is dropped, whatever became of it.
    pub fn drop_action(&mut self, at: usize, from: Address, attempt: Attempt) {
        let purpose = Purpose::OperatorAction(from, attempt);
        for list in self.nodes[at].changes.values_mut() {
            list.retain(|change| change.purpose != purpose);
        }
    }

    pub fn receive_action(&mut self, at: usize, from: Address, attempt: Attempt, order: OperatorAction) {
        let stale = self.nodes[at].pauses.requests_may_be_stale(self.now) && self.guards.stale_orders;
        if stale && !matches!(order, OperatorAction::Read) {
            return self.answer(at, from, attempt, Answer::Unclear);
        }
        let purpose = Purpose::OperatorAction(from, attempt);
        match order {
            OperatorAction::Change(change) => {
                let guards = self.guards;
                let judge = Box::new(move |body: &[u8]| judge_change(&change, body, guards));
                self.begin_change(at, CONFIG_KEY, purpose, CHANGE_MS, judge);
            }
            OperatorAction::Evacuate(on) => {
                let judge = Box::new(move |body: &[u8]| judge_evacuation(on, None, body));
                self.begin_change(at, EVACUATION, purpose, EVACUATE_MS, judge);
            }
            OperatorAction::EvacuateFrom(on, version) => {
                let judge = Box::new(move |body: &[u8]| judge_evacuation(on, Some(version), body));
                self.begin_change(at, EVACUATION, purpose, EVACUATE_MS, judge);
            }
            OperatorAction::Read if self.guards.quorum_reads => {
                let judge =
                    Box::new(|body: &[u8]| Decision::Answer(Some(found(&StoredConfig::decode(body).expect("reads")))));
                self.begin_change(at, CONFIG_KEY, purpose, CHANGE_MS, judge);
            }
            OperatorAction::Read => {
                let answer = found(&self.nodes[at].config());
                self.answer(at, from, attempt, answer);
            }
        }
    }

    pub fn answer(&mut self, at: usize, to: Address, attempt: Attempt, answer: Answer) {
        self.history.answered(attempt, &answer);
        if self.random.below(100) >= self.lost_answers {
            self.send(Address::Node(at), to, Packet::Answer(attempt, answer));
        }
    }

    pub fn receive_answer(&mut self, number: usize, attempt: Attempt, answer: Answer) {
        let now = self.now;
        let pause = self.random.below(self.max_pause_ms);
        let operator = &mut self.operators[number];
        debug_assert_eq!(operator.number, number);
        let Some((current, order)) = operator.current.clone().filter(|(current, _)| *current == attempt) else {
            return;
        };
        match &answer {
            Answer::Unclear => {
                operator.resend = now + 50 + pause;
                return;
            }
            Answer::Found { revision, .. } => operator.revision = *revision,
            Answer::Good => {
                if let OperatorAction::Change(change) = &order {
                    operator.revision = bodies::revision(change);
                }
            }
            // Another version is current: it is read before the next change.
            Answer::Refused => operator.orders += 1,
        }
        operator.current = None;
        operator.asked = None;
        operator.next_order = now + pause;
        self.history.heard(current, &answer, now);
        if answer == Answer::Refused {
            let attempt = Attempt { operator: number, number: self.operators[number].orders };
            self.operators[number].current = Some((attempt, OperatorAction::Read));
            self.operators[number].resend = now;
            self.history.begun(attempt, OperatorAction::Read);
        }
    }
}

fn found(held: &StoredConfig) -> Answer {
    Answer::Found { revision: held.revision, taken: held.changes.clone() }
}

fn judge_evacuation(on: bool, from: Option<u64>, body: &[u8]) -> Decision<Option<Answer>> {
    operator_requests::decide_evacuation(on, from, body, Some(Answer::Good), Some(Answer::Unclear))
}

fn judge_change(change: &ConfigChange, body: &[u8], guards: Guards) -> Decision<Option<Answer>> {
    let mut held = StoredConfig::decode(body).expect("a configuration that reads");
    if !guards.digests {
        held.changes.clear();
    }
    let mut outcome = ParsedChange::parse(change).decide(&held, None, BodyFormat::Digested);
    if !guards.validity && matches!(outcome, Err(ConfigChangeError::Invalid(_))) {
        let next = change::reapply(change, bodies::revision(change), &held, None, BodyFormat::Digested);
        outcome = next
            .map(ChangeDecision::Commit)
            .ok_or(ConfigChangeError::Conflict { base: change.base, current: held.revision });
    }
    match outcome {
        Ok(ChangeDecision::AlreadyCommitted) => Decision::Answer(Some(Answer::Good)),
        Ok(ChangeDecision::OutcomeUnknown) => Decision::Answer(Some(Answer::Unclear)),
        Ok(ChangeDecision::Commit(next)) => {
            Decision::Write(next.stored.encode(BodyFormat::Digested), Some(Answer::Good))
        }
        Err(_) => Decision::Answer(Some(Answer::Refused)),
    }
}
