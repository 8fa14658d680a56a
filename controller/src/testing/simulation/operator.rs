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
const CHANGE_TIMEOUT_MS: u64 = 2000;
const EVACUATION_TIMEOUT_MS: u64 = operator_requests::EVACUATION_TIMEOUT_MS;
const UNHEARD_CLOSE_ONE_OF: u64 = 4;
const EXECUTED_TWICE_ONE_OF: u64 = 3;
pub const EVACUATION_KEY: &str = "evacuation/z";

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
pub struct ActionId {
    pub operator: usize,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done,
    /// The configuration, as a read found it.
    Found {
        revision: u64,
        changes: Vec<CommittedChange>,
    },
    Rejected,
    /// No clear outcome: to be sent again.
    OutcomeUnknown,
}

/// Invariant: at most one order is under way.
pub struct Operator {
    number: usize,
    actions: u64,
    revision: u64,
    current: Option<(ActionId, OperatorAction)>,
    /// Where the order was sent last.
    last_target: Option<usize>,
    resend_at: u64,
    next_action_at: u64,
    pub active: bool,
}

impl Operator {
    pub fn new(number: usize) -> Operator {
        Operator {
            number,
            actions: 0,
            revision: 0,
            current: None,
            last_target: None,
            resend_at: 0,
            next_action_at: 200,
            active: true,
        }
    }
}

impl Cluster {
    pub fn run_operator(&mut self, number: usize) {
        let now = self.now;
        let operator = &mut self.operators[number];
        if operator.current.is_none() && operator.active && now >= operator.next_action_at {
            self.choose_action(number);
        }
        let operator = &mut self.operators[number];
        if operator.current.is_some() && now >= operator.resend_at {
            operator.resend_at = now + IO_TIMEOUT_MS;
            self.send_action(number);
        }
    }

    fn choose_action(&mut self, number: usize) {
        let choice = self.random.below(10);
        let operator = &mut self.operators[number];
        operator.actions += 1;
        let action_id = ActionId { operator: number, number: operator.actions };
        let action = match choice {
            0 | 1 => OperatorAction::Read,
            // One operator only, so that what it was told last is what holds.
            2 | 3 if number == 0 => OperatorAction::Evacuate(self.random.below(2) == 0),
            _ => {
                let (action_number, base) = (operator.actions, operator.revision);
                let body = match self.mixed_actions {
                    true => bodies::draw(&mut self.random, number as u64, action_number, base),
                    false => bodies::whole(&mut self.random, number as u64, action_number, base),
                };
                if !body.valid {
                    self.history.record_invalid(action_id);
                }
                OperatorAction::Change(body.change)
            }
        };
        operator.current = Some((action_id, action.clone()));
        operator.resend_at = self.now;
        self.history.record_start(action_id, action);
    }

    /// To any machine that is there, as far as the operator's old list tells. The connection to the one asked
    /// before is closed.
    fn send_action(&mut self, number: usize) {
        let Some((action_id, action)) = self.operators[number].current.clone() else { return };
        // The operator's own machine or path may be gone: then nobody hears that it gave up.
        let previous =
            self.operators[number].last_target.take().filter(|_| self.random.below(UNHEARD_CLOSE_ONE_OF) > 0);
        if let Some(previous) = previous {
            self.send(Address::Operator(number), Address::Node(previous), Packet::Close(action_id));
        }
        let targets: Vec<usize> = self.nodes.iter().filter(|node| !node.removed).map(|node| node.index).collect();
        let to = targets[self.random.below(targets.len() as u64) as usize];
        self.operators[number].last_target = Some(to);
        if self.mixed_actions && self.random.below(EXECUTED_TWICE_ONE_OF) == 0 {
            // The one asked relays it to the home of its key, hears nothing, and carries it out too.
            let other = targets[self.random.below(targets.len() as u64) as usize];
            let relayed = match action {
                OperatorAction::Evacuate(on) if self.guards.versioned_evacuations => {
                    OperatorAction::EvacuateFrom(on, self.nodes[to].evacuation().version)
                }
                _ => action.clone(),
            };
            self.send(Address::Node(to), Address::Node(other), Packet::OperatorAction(action_id, relayed));
        }
        self.send(Address::Operator(number), Address::Node(to), Packet::OperatorAction(action_id, action));
    }

    /// The caller is gone: its call is dropped, whatever became of it.
    pub fn drop_action(&mut self, index: usize, from: Address, action_id: ActionId) {
        let purpose = Purpose::OperatorAction(from, action_id);
        for list in self.nodes[index].changes.values_mut() {
            list.retain(|change| change.purpose != purpose);
        }
    }

    pub fn receive_action(&mut self, index: usize, from: Address, action_id: ActionId, action: OperatorAction) {
        let stale = self.nodes[index].pauses.requests_may_be_stale(self.now) && self.guards.stale_requests;
        if stale && !matches!(action, OperatorAction::Read) {
            return self.answer(index, from, action_id, Answer::OutcomeUnknown);
        }
        let purpose = Purpose::OperatorAction(from, action_id);
        match action {
            OperatorAction::Change(change) => {
                let guards = self.guards;
                let decide = Box::new(move |body: &[u8]| decide_change(&change, body, guards));
                self.begin_change(index, CONFIG_KEY, purpose, CHANGE_TIMEOUT_MS, decide);
            }
            OperatorAction::Evacuate(on) => {
                let decide = Box::new(move |body: &[u8]| decide_evacuation(on, None, body));
                self.begin_change(index, EVACUATION_KEY, purpose, EVACUATION_TIMEOUT_MS, decide);
            }
            OperatorAction::EvacuateFrom(on, version) => {
                let decide = Box::new(move |body: &[u8]| decide_evacuation(on, Some(version), body));
                self.begin_change(index, EVACUATION_KEY, purpose, EVACUATION_TIMEOUT_MS, decide);
            }
            OperatorAction::Read if self.guards.quorum_reads => {
                let decide = Box::new(|body: &[u8]| {
                    Decision::Answer(Some(found_answer(&StoredConfig::decode(body).expect("reads"))))
                });
                self.begin_change(index, CONFIG_KEY, purpose, CHANGE_TIMEOUT_MS, decide);
            }
            OperatorAction::Read => {
                let answer = found_answer(&self.nodes[index].config());
                self.answer(index, from, action_id, answer);
            }
        }
    }

    pub fn answer(&mut self, index: usize, to: Address, action_id: ActionId, answer: Answer) {
        self.history.record_answer(action_id, &answer);
        if self.random.below(100) >= self.lost_answer_percent {
            self.send(Address::Node(index), to, Packet::Answer(action_id, answer));
        }
    }

    pub fn receive_answer(&mut self, number: usize, action_id: ActionId, answer: Answer) {
        let now = self.now;
        let pause = self.random.below(self.max_think_time_ms);
        let operator = &mut self.operators[number];
        debug_assert_eq!(operator.number, number);
        let Some((current, action)) = operator.current.clone().filter(|(current, _)| *current == action_id) else {
            return;
        };
        match &answer {
            Answer::OutcomeUnknown => {
                operator.resend_at = now + 50 + pause;
                return;
            }
            Answer::Found { revision, .. } => operator.revision = *revision,
            Answer::Done => {
                if let OperatorAction::Change(change) = &action {
                    operator.revision = bodies::revision(change);
                }
            }
            // Another version is current: it is read before the next change.
            Answer::Rejected => operator.actions += 1,
        }
        operator.current = None;
        operator.last_target = None;
        operator.next_action_at = now + pause;
        self.history.record_received_answer(current, &answer, now);
        if answer == Answer::Rejected {
            let action_id = ActionId { operator: number, number: self.operators[number].actions };
            self.operators[number].current = Some((action_id, OperatorAction::Read));
            self.operators[number].resend_at = now;
            self.history.record_start(action_id, OperatorAction::Read);
        }
    }
}

fn found_answer(stored: &StoredConfig) -> Answer {
    Answer::Found { revision: stored.revision, changes: stored.changes.clone() }
}

fn decide_evacuation(on: bool, from: Option<u64>, body: &[u8]) -> Decision<Option<Answer>> {
    operator_requests::decide_evacuation(on, from, body, Some(Answer::Done), Some(Answer::OutcomeUnknown))
}

fn decide_change(change: &ConfigChange, body: &[u8], guards: Guards) -> Decision<Option<Answer>> {
    let mut stored = StoredConfig::decode(body).expect("a configuration that reads");
    if !guards.digests {
        stored.changes.clear();
    }
    let mut outcome = ParsedChange::parse(change).decide(&stored, None, BodyFormat::Digested);
    if !guards.validity && matches!(outcome, Err(ConfigChangeError::Invalid(_))) {
        let next = change::reapply(change, bodies::revision(change), &stored, None, BodyFormat::Digested);
        outcome = next
            .map(ChangeDecision::Commit)
            .ok_or(ConfigChangeError::Conflict { base: change.base, current: stored.revision });
    }
    match outcome {
        Ok(ChangeDecision::AlreadyCommitted) => Decision::Answer(Some(Answer::Done)),
        Ok(ChangeDecision::OutcomeUnknown) => Decision::Answer(Some(Answer::OutcomeUnknown)),
        Ok(ChangeDecision::Commit(next)) => {
            Decision::Write(next.stored.encode(BodyFormat::Digested), Some(Answer::Done))
        }
        Err(_) => Decision::Answer(Some(Answer::Rejected)),
    }
}
