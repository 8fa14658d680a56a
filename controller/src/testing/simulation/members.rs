//! Changes of the core at a simulated controller, and the recovery of an acceptor that lost its disk.

use std::mem;

use consensus::{quorum, stabilized, Decision, LogRecord, MembershipTransition, MEMBERSHIP_KEY, RECOVERY_DELAY_MS};
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, RegisterState};

use super::changes::Purpose;
use super::network::Address;
use super::{address, Cluster};
use crate::replication::{committed_state, reconfiguration};

const TICK_MS: u64 = 150;
const SPREAD_MS: u64 = 800;
const COMMIT_MS: u64 = 1500;
const READ_MS: u64 = 800;

/// A read of other acceptors by one that may not vote.
struct Recovery {
    id: u64,
    core: CoreMembership,
    end: u64,
    from: Vec<String>,
    reads: Vec<Vec<RegisterState>>,
}

#[derive(Default)]
pub struct Members {
    next_tick: u64,
    transition: Option<MembershipTransition>,
    spread: Option<(u64, u64)>,
    recovery: Option<Recovery>,
}

impl Cluster {
    pub fn run_membership(&mut self, at: usize) {
        self.end_if_released(at);
        let now = self.now;
        self.nodes[at].pauses.record_tick(now);
        if now < self.nodes[at].members.next_tick {
            return;
        }
        self.nodes[at].members.next_tick = now + TICK_MS;
        if !self.nodes[at].acceptor.may_vote {
            self.attempt_recovery(at);
            return;
        }
        let core = self.nodes[at].acceptor.membership.clone();
        if core.members.is_empty() || !self.nodes[at].is_confirmed(now) || !self.coordinates(at, &core) {
            return;
        }
        if core.stable {
            self.begin_core_change(at, &core);
        } else {
            self.advance_transition(at, &core);
        }
    }

    fn coordinates(&self, at: usize, core: &CoreMembership) -> bool {
        let node = &self.nodes[at];
        let leaving = node.leaving.is_some();
        let first = reconfiguration::first_member(core, &node.view, leaving, MEMBERSHIP_KEY, self.now);
        first.as_deref() == Some(&node.acceptor.ip)
    }

    fn begin_core_change(&mut self, at: usize, core: &CoreMembership) {
        if self.is_changing(at, &Purpose::CoreChange) {
            return;
        }
        let now = self.now;
        let Some(next) = reconfiguration::next(core, &self.nodes[at].view, now) else { return };
        let version = core.version;
        let judge = move |body: &[u8]| match committed_state::decode_membership(body) {
            Some(held) if held.version != version || !held.stable => Decision::Answer(None),
            _ => Decision::Write(committed_state::encode_membership(&next), None),
        };
        self.begin_change(at, MEMBERSHIP_KEY, Purpose::CoreChange, COMMIT_MS, Box::new(judge));
    }

    fn advance_transition(&mut self, at: usize, core: &CoreMembership) {
        let now = self.now;
        let members = &mut self.nodes[at].members;
        if !members.transition.as_ref().is_some_and(|held| held.membership() == core) {
            members.transition = Some(MembershipTransition::new(core));
            members.spread = None;
        }
        let transition = members.transition.as_ref().expect("a settlement");
        if transition.is_done() {
            return self.finish_transition(at, core);
        }
        if !transition.is_known() {
            if members.spread.is_some_and(|(_, end)| now < end) {
                return;
            }
            let all = quorum::old_and_new_members(core);
            let id = self.poll(at, core, &ConsensusOperation::Positions, &all);
            self.nodes[at].members.spread = Some((id, now + SPREAD_MS));
            return;
        }
        for key in transition.remaining_keys() {
            let purpose = Purpose::Renewal(key.clone());
            if !self.is_changing(at, &purpose) {
                self.nodes[at].owned.remove(&key);
                self.begin_change(at, &key, purpose, COMMIT_MS, Box::new(|_: &[u8]| Decision::Answer(None)));
            }
        }
    }

    pub fn renewed(&mut self, at: usize, key: &str) {
        if let Some(transition) = &mut self.nodes[at].members.transition {
            transition.mark_recommitted(key);
        }
    }

    fn finish_transition(&mut self, at: usize, core: &CoreMembership) {
        if self.is_changing(at, &Purpose::TransitionEnd) {
            return;
        }
        let version = core.version;
        let judge = move |body: &[u8]| match committed_state::decode_membership(body) {
            Some(held) if held.version == version && !held.stable => {
                let stabilized_membership = stabilized(&held);
                Decision::Write(committed_state::encode_membership(&stabilized_membership), None)
            }
            _ => Decision::Answer(None),
        };
        self.begin_change(at, MEMBERSHIP_KEY, Purpose::TransitionEnd, COMMIT_MS, Box::new(judge));
    }

    fn attempt_recovery(&mut self, at: usize) {
        let node = &self.nodes[at];
        let core = node.acceptor.membership.clone();
        let at_work = node.members.recovery.as_ref().is_some_and(|recovery| self.now < recovery.end);
        if self.now < node.started_at + RECOVERY_DELAY_MS || core.members.is_empty() || at_work {
            return;
        }
        let member = quorum::is_old_or_new_member(&core, &node.acceptor.ip);
        let others = node.acceptor.recovery_peers();
        let ask = if member { ConsensusOperation::Snapshot } else { ConsensusOperation::Positions };
        let id = self.poll(at, &core, &ask, &others);
        let end = self.now + READ_MS;
        self.nodes[at].members.recovery = Some(Recovery { id, core, end, from: Vec::new(), reads: Vec::new() });
    }

    /// Routes a response to what asked for it.
    pub fn receive_response(&mut self, at: usize, from: Address, id: u64, response: ConsensusResponse) {
        let Address::Node(from) = from else { return };
        let from = address(from);
        if self.response_to_change(at, &from, id, &response) || self.response_to_recovery(at, &from, id, &response) {
            return;
        }
        if self.response_to_announcement(at, &from, id, &response) {
            return;
        }
        self.response_to_confirmation(at, &from, id, &response);
    }

    fn response_to_announcement(&mut self, at: usize, from: &str, id: u64, response: &ConsensusResponse) -> bool {
        let members = &mut self.nodes[at].members;
        if members.spread.is_none_or(|(spread, _)| spread != id) {
            return false;
        }
        let Some(transition) = &mut members.transition else { return false };
        match response {
            ConsensusResponse::NewerMembership { membership } => self.adopt(at, &membership.clone()),
            response => transition.record_response(from, response),
        }
        true
    }

    fn response_to_recovery(&mut self, at: usize, from: &str, id: u64, response: &ConsensusResponse) -> bool {
        let node = &mut self.nodes[at];
        let Some(recovery) = node.members.recovery.as_mut().filter(|recovery| recovery.id == id) else { return false };
        let current = recovery.core.version == node.acceptor.membership.version && !node.acceptor.may_vote;
        match response {
            ConsensusResponse::NewerMembership { membership } => {
                node.members.recovery = None;
                self.adopt(at, &membership.clone());
                return true;
            }
            ConsensusResponse::Snapshot { registers } => recovery.reads.push(registers.clone()),
            ConsensusResponse::Positions { .. } => {}
            _ => return true,
        }
        recovery.from.push(from.into());
        let member = quorum::is_old_or_new_member(&recovery.core, &node.acceptor.ip);
        let records = if member && current && node.acceptor.has_enough_reads(&recovery.from) {
            let reads = mem::take(&mut recovery.reads);
            node.acceptor.recover(reads).unwrap_or_default()
        } else if !member && current && quorum::is_quorum(&recovery.core, &recovery.from) {
            node.acceptor.may_vote = true;
            vec![LogRecord::VotingEnabled]
        } else {
            return true;
        };
        node.members.recovery = None;
        self.write(at, records, None);
        true
    }
}
