//! Changes of keys at a simulated controller. Each key has one change in progress at a time, which is retried until its
//! deadline.

use std::mem;

use consensus::{quorum, Decision, Progress, Proposal};
use protocol::message::{ConsensusResponse, ProposalNumber};

use super::network::Address;
use super::operator::{ActionId, Answer};
use super::Cluster;

const INITIAL_BACKOFF_MS: u64 = 20;
const MAX_BACKOFF_MS: u64 = 200;

/// Decides what to do with a key, given its committed body.
pub type DecideFn = Box<dyn FnMut(&[u8]) -> Decision<Option<Answer>>>;

/// The purpose of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Purpose {
    OperatorAction(Address, ActionId),
    /// Commits a key again under a changed core membership.
    Recommit(String),
    /// Commits again an entry that its owner has abandoned.
    RecommitAbandoned,
    MembershipChange,
    TransitionEnd,
}

pub struct Change {
    pub purpose: Purpose,
    decide: DecideFn,
    /// The time at which the change is abandoned.
    deadline: u64,
    next_attempt: u64,
    backoff: u64,
    running: Option<(u64, Proposal<Option<Answer>>)>,
}

impl Cluster {
    pub fn begin_change(&mut self, index: usize, key: &str, purpose: Purpose, timeout_ms: u64, decide: DecideFn) {
        let deadline = self.now + timeout_ms;
        let change =
            Change { purpose, decide, deadline, next_attempt: self.now, backoff: INITIAL_BACKOFF_MS, running: None };
        self.nodes[index].changes.entry(key.into()).or_default().push(change);
    }

    pub fn has_change(&self, index: usize, purpose: &Purpose) -> bool {
        self.nodes[index].changes.values().flatten().any(|change| change.purpose == *purpose)
    }

    pub fn run_changes(&mut self, index: usize) {
        let keys: Vec<String> = self.nodes[index].changes.keys().cloned().collect();
        for key in keys {
            self.expire_changes(index, &key);
            self.start_attempt(index, &key);
        }
    }

    /// Ends the changes whose deadline has passed, with an unknown outcome.
    fn expire_changes(&mut self, index: usize, key: &str) {
        let now = self.now;
        let Some(list) = self.nodes[index].changes.get_mut(key) else { return };
        let (expired, remaining) = mem::take(list).into_iter().partition(|change: &Change| now >= change.deadline);
        *list = remaining;
        let expired: Vec<Change> = expired;
        for change in expired {
            self.complete_change(index, change.purpose, Some(Answer::OutcomeUnknown));
        }
    }

    /// Starts the next attempt of the first queued change, unless an attempt is in progress.
    fn start_attempt(&mut self, index: usize, key: &str) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let core = node.acceptor.membership.clone();
        let Some(change) = node.changes.get_mut(key).and_then(|list| list.first_mut()) else { return };
        if change.running.as_ref().is_some_and(|(_, proposal)| proposal.is_expired(now)) {
            change.running = None;
            change.next_attempt = now + change.backoff;
        }
        if change.running.is_some() || now < change.next_attempt || core.members.is_empty() {
            return;
        }
        node.highest_term = consensus::next_term(node.highest_term, &core);
        let proposal_number = ProposalNumber {
            term: node.highest_term,
            replica_id: consensus::replica_id(&node.acceptor.ip, node.incarnation),
        };
        let ownership = node.owned.remove(key);
        let (proposal, operation) = Proposal::start(key, &core, ownership, proposal_number, &mut change.decide, now);
        let members = quorum::addresses(&core);
        let id = self.send_requests(index, &core, &operation, &members);
        let change = self.nodes[index].changes.get_mut(key).and_then(|list| list.first_mut());
        change.expect("a change").running = Some((id, proposal));
    }

    /// Handles a response to a proposal. Returns `false` if the response belongs to another operation.
    pub fn handle_change_response(&mut self, index: usize, from: &str, id: u64, response: &ConsensusResponse) -> bool {
        let now = self.now;
        let node = &mut self.nodes[index];
        let is_for = |change: &Change| change.running.as_ref().is_some_and(|(running, _)| *running == id);
        let found = node.changes.iter_mut().find(|(_, list)| list.first().is_some_and(is_for));
        let Some((key, list)) = found else { return false };
        let (key, change) = (key.clone(), &mut list[0]);
        let Some((_, proposal)) = change.running.as_mut() else { return false };
        let core = proposal.membership().clone();
        match proposal.handle_response(from, response.clone(), &mut change.decide, now) {
            Progress::Wait => {}
            Progress::Send(operation) => {
                let members = quorum::addresses(&core);
                let next = self.send_requests(index, &core, &operation, &members);
                let change = &mut self.nodes[index].changes.get_mut(&key).expect("a change")[0];
                change.running.as_mut().expect("an attempt in progress").0 = next;
            }
            Progress::Finished { answer, ownership: acquired, .. } => {
                let change = list.remove(0);
                if !acquired.is_blank() {
                    self.learn(index, &key, &acquired.entry, true);
                }
                self.nodes[index].owned.insert(key, acquired);
                self.complete_change(index, change.purpose, answer);
            }
            Progress::Superseded(proposal_number) => {
                self.nodes[index].highest_term = self.nodes[index].highest_term.max(proposal_number.term);
                self.back_off(index, &key);
            }
            Progress::NewerMembership(core) => {
                self.adopt(index, &core);
                self.back_off(index, &key);
            }
        }
        true
    }

    fn back_off(&mut self, index: usize, key: &str) {
        let now = self.now;
        let change = &mut self.nodes[index].changes.get_mut(key).expect("a change")[0];
        let backoff = change.backoff;
        change.running = None;
        change.backoff = (backoff * 2).min(MAX_BACKOFF_MS);
        change.next_attempt = now + 2 + self.random.below(backoff);
    }

    /// Ends a change. `answer` is `None` if it succeeded and there is nothing to report.
    fn complete_change(&mut self, index: usize, purpose: Purpose, answer: Option<Answer>) {
        let done = !matches!(answer, Some(Answer::OutcomeUnknown));
        match purpose {
            Purpose::OperatorAction(to, action_id) => {
                self.answer(index, to, action_id, answer.unwrap_or(Answer::OutcomeUnknown))
            }
            Purpose::Recommit(key) if done => self.record_recommit(index, &key),
            Purpose::Recommit(_) | Purpose::RecommitAbandoned | Purpose::MembershipChange | Purpose::TransitionEnd => {}
        }
    }
}
