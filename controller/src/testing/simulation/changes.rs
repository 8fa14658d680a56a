//! Changes of keys at a simulated controller: one at a time for each key, tried again until their time is over.

use std::mem;

use consensus::{quorum, Decision, Progress, Proposal};
use protocol::message::{ConsensusResponse, ProposalNumber};

use super::network::Address;
use super::operator::{Answer, Attempt};
use super::Cluster;

const FIRST_PAUSE_MS: u64 = 20;
const LAST_PAUSE_MS: u64 = 200;

/// Decides what is to be done on top of what is committed.
pub type Judge = Box<dyn FnMut(&[u8]) -> Decision<Option<Answer>>>;

/// What a change is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Purpose {
    OperatorAction(Address, Attempt),
    /// Committing a key again under a changed core.
    Renewal(String),
    /// Committing again what its owner left half done.
    Repair,
    CoreChange,
    TransitionEnd,
}

pub struct Change {
    pub purpose: Purpose,
    judge: Judge,
    /// Given up from then on.
    end: u64,
    resume: u64,
    pause: u64,
    running: Option<(u64, Proposal<Option<Answer>>)>,
}

impl Cluster {
    pub fn begin_change(&mut self, at: usize, key: &str, purpose: Purpose, wait_ms: u64, judge: Judge) {
        let end = self.now + wait_ms;
        let change = Change { purpose, judge, end, resume: self.now, pause: FIRST_PAUSE_MS, running: None };
        self.nodes[at].changes.entry(key.into()).or_default().push(change);
    }

    pub fn is_changing(&self, at: usize, purpose: &Purpose) -> bool {
        self.nodes[at].changes.values().flatten().any(|change| change.purpose == *purpose)
    }

    pub fn run_changes(&mut self, at: usize) {
        let keys: Vec<String> = self.nodes[at].changes.keys().cloned().collect();
        for key in keys {
            self.drop_late_changes(at, &key);
            self.try_first_change(at, &key);
        }
    }

    /// Those whose time is over get no clear outcome.
    fn drop_late_changes(&mut self, at: usize, key: &str) {
        let now = self.now;
        let Some(list) = self.nodes[at].changes.get_mut(key) else { return };
        let (late, rest) = mem::take(list).into_iter().partition(|change: &Change| now >= change.end);
        *list = rest;
        let late: Vec<Change> = late;
        for change in late {
            self.end_change(at, change.purpose, Some(Answer::Unclear));
        }
    }

    /// Begins the next try of the change that is first in line, unless one is under way.
    fn try_first_change(&mut self, at: usize, key: &str) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let core = node.acceptor.membership.clone();
        let Some(change) = node.changes.get_mut(key).and_then(|list| list.first_mut()) else { return };
        if change.running.as_ref().is_some_and(|(_, proposal)| proposal.is_expired(now)) {
            change.running = None;
            change.resume = now + change.pause;
        }
        if change.running.is_some() || now < change.resume || core.members.is_empty() {
            return;
        }
        node.highest_term = consensus::next_term(node.highest_term, &core);
        let proposal_number = ProposalNumber {
            term: node.highest_term,
            replica_id: consensus::replica_id(&node.acceptor.ip, node.incarnation),
        };
        let held = node.owned.remove(key);
        let (proposal, ask) = Proposal::start(key, &core, held, proposal_number, &mut change.judge, now);
        let members = quorum::addresses(&core);
        let id = self.poll(at, &core, &ask, &members);
        let change = self.nodes[at].changes.get_mut(key).and_then(|list| list.first_mut());
        change.expect("a change").running = Some((id, proposal));
    }

    /// A vote on a proposal. False: it was for something else.
    pub fn response_to_change(&mut self, at: usize, from: &str, id: u64, response: &ConsensusResponse) -> bool {
        let now = self.now;
        let node = &mut self.nodes[at];
        let is_for = |change: &Change| change.running.as_ref().is_some_and(|(running, _)| *running == id);
        let found = node.changes.iter_mut().find(|(_, list)| list.first().is_some_and(is_for));
        let Some((key, list)) = found else { return false };
        let (key, change) = (key.clone(), &mut list[0]);
        let Some((_, proposal)) = change.running.as_mut() else { return false };
        let core = proposal.membership().clone();
        match proposal.handle_response(from, response.clone(), &mut change.judge, now) {
            Progress::Wait => {}
            Progress::Send(ask) => {
                let members = quorum::addresses(&core);
                let next = self.poll(at, &core, &ask, &members);
                let change = &mut self.nodes[at].changes.get_mut(&key).expect("a change")[0];
                change.running.as_mut().expect("under way").0 = next;
            }
            Progress::Finished { answer, ownership: owner, .. } => {
                let change = list.remove(0);
                if !owner.is_blank() {
                    self.learn(at, &key, &owner.entry, true);
                }
                self.nodes[at].owned.insert(key, owner);
                self.end_change(at, change.purpose, answer);
            }
            Progress::Superseded(proposal_number) => {
                self.nodes[at].highest_term = self.nodes[at].highest_term.max(proposal_number.term);
                self.pause_change(at, &key);
            }
            Progress::NewerMembership(core) => {
                self.adopt(at, &core);
                self.pause_change(at, &key);
            }
        }
        true
    }

    fn pause_change(&mut self, at: usize, key: &str) {
        let now = self.now;
        let change = &mut self.nodes[at].changes.get_mut(key).expect("a change")[0];
        let pause = change.pause;
        change.running = None;
        change.pause = (pause * 2).min(LAST_PAUSE_MS);
        change.resume = now + 2 + self.random.below(pause);
    }

    /// None: done, with nothing to tell.
    fn end_change(&mut self, at: usize, purpose: Purpose, answer: Option<Answer>) {
        let done = !matches!(answer, Some(Answer::Unclear));
        match purpose {
            Purpose::OperatorAction(to, attempt) => self.answer(at, to, attempt, answer.unwrap_or(Answer::Unclear)),
            Purpose::Renewal(key) if done => self.renewed(at, &key),
            Purpose::Renewal(_) | Purpose::Repair | Purpose::CoreChange | Purpose::TransitionEnd => {}
        }
    }
}
