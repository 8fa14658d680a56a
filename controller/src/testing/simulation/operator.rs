//! Operators that change the configuration, evacuate zones, read the configuration, and retry actions whose outcome is
//! unknown.

use consensus::Decision;
use protocol::operator_request::ConfigChange;

use super::changes::Purpose;
use super::network::{Address, Packet};
use super::{bodies, Cluster, Guards};
use crate::api::operator_requests;
use crate::config::body::{BodyFormat, CommittedChange, StoredConfig};
use crate::config::change::{self, ChangeDecision, ConfigChangeError, ParsedChange};
use crate::replication::committed_state::CONFIG_KEY;

/// How long an operator waits for an answer before it sends an action again, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1000;
/// How long a controller tries to commit a change or to confirm a read, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 2000;
const EVACUATION_TIMEOUT_MS: u64 = operator_requests::EVACUATION_TIMEOUT_MS;
/// One in this many closes of a connection is lost.
const LOST_CLOSE_ONE_OF: u64 = 4;
/// One in this many mixed actions is executed at two controllers.
const EXECUTED_TWICE_ONE_OF: u64 = 3;
pub const EVACUATION_KEY: &str = "evacuation/z";

#[derive(Clone, Debug)]
pub enum OperatorAction {
    Change(ConfigChange),
    Evacuate(bool),
    /// A relayed evacuation, made on top of a version.
    EvacuateFrom(bool, u64),
    Read,
}

/// Identifies an action of an operator, which may be sent several times. Invariant: `number` is unique per operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ActionId {
    pub operator: usize,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done,
    /// The configuration that a read returned.
    Found {
        revision: u64,
        changes: Vec<CommittedChange>,
    },
    Rejected,
    /// The outcome is unknown, and the action is sent again.
    OutcomeUnknown,
}

/// A simulated operator. Invariant: at most one action is in progress.
pub struct Operator {
    number: usize,
    actions: u64,
    revision: u64,
    current: Option<(ActionId, OperatorAction)>,
    /// The node to which the action was last sent.
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
            operator.resend_at = now + ANSWER_TIMEOUT_MS;
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
            // Only one operator evacuates, so that the last answer it got is the state in force.
            2 | 3 if number == 0 => OperatorAction::Evacuate(self.random.below(2) == 0),
            _ => {
                let (action_number, base) = (operator.actions, operator.revision);
                let generated = match self.mixed_actions {
                    true => bodies::random_change(&mut self.random, number as u64, action_number, base),
                    false => bodies::full_config(&mut self.random, number as u64, action_number, base),
                };
                if !generated.valid {
                    self.history.record_invalid(action_id);
                }
                OperatorAction::Change(generated.change)
            }
        };
        operator.current = Some((action_id, action.clone()));
        operator.resend_at = self.now;
        self.history.record_start(action_id, action);
    }

    /// Sends the current action to a random machine that was not removed, running or not. The connection on which it
    /// was sent before is closed.
    fn send_action(&mut self, number: usize) {
        let Some((action_id, action)) = self.operators[number].current.clone() else { return };
        // The close may be lost, as when the operator's machine or network path fails.
        let previous = self.operators[number].last_target.take().filter(|_| self.random.below(LOST_CLOSE_ONE_OF) > 0);
        if let Some(previous) = previous {
            self.send(Address::Operator(number), Address::Node(previous), Packet::Close(action_id));
        }
        let targets: Vec<usize> = self.nodes.iter().filter(|node| !node.removed).map(|node| node.index).collect();
        let to = targets[self.random.below(targets.len() as u64) as usize];
        self.operators[number].last_target = Some(to);
        if self.mixed_actions && self.random.below(EXECUTED_TWICE_ONE_OF) == 0 {
            // The controller relays the action to another one, gets no response, and executes it too.
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

    /// Drops an action whose operator has closed the connection. Its outcome is unknown.
    pub fn drop_action(&mut self, index: usize, from: Address, action_id: ActionId) {
        let purpose = Purpose::OperatorAction(from, action_id);
        for changes in self.nodes[index].changes.values_mut() {
            changes.retain(|change| change.purpose != purpose);
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
                    Decision::Answer(Some(found_answer(&StoredConfig::decode(body).expect("a valid configuration"))))
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
        let think_time = self.random.below(self.max_think_time_ms);
        let operator = &mut self.operators[number];
        debug_assert_eq!(operator.number, number);
        let Some((current, action)) = operator.current.clone().filter(|(current, _)| *current == action_id) else {
            return;
        };
        match &answer {
            Answer::OutcomeUnknown => {
                operator.resend_at = now + 50 + think_time;
                return;
            }
            Answer::Found { revision, .. } => operator.revision = *revision,
            Answer::Done => {
                if let OperatorAction::Change(change) = &action {
                    operator.revision = bodies::revision(change);
                }
            }
            // Another revision is in force, which is read before the next change.
            Answer::Rejected => operator.actions += 1,
        }
        operator.current = None;
        operator.last_target = None;
        operator.next_action_at = now + think_time;
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
    let mut stored = StoredConfig::decode(body).expect("a valid configuration");
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
