//! Reconfiguration of the core by a simulated controller, and recovery of an acceptor that lost its disk.

use std::mem;

use consensus::{quorum, stabilized, Decision, LogRecord, MembershipTransition, MEMBERSHIP_KEY, RECOVERY_DELAY_MS};
use protocol::message::{ConsensusOperation, ConsensusResponse, CoreMembership, RegisterState};

use super::changes::Purpose;
use super::network::Address;
use super::{address, Cluster};
use crate::replication::{committed_state, reconfiguration};

const TICK_MS: u64 = 150;
const ANNOUNCE_TIMEOUT_MS: u64 = 800;
const COMMIT_TIMEOUT_MS: u64 = 1500;
const READ_TIMEOUT_MS: u64 = 800;

/// A read of other acceptors by one that may not vote yet.
struct Recovery {
    id: u64,
    core: CoreMembership,
    deadline: u64,
    from: Vec<String>,
    reads: Vec<Vec<RegisterState>>,
}

#[derive(Default)]
pub struct MembershipState {
    next_tick: u64,
    transition: Option<MembershipTransition>,
    announcement: Option<(u64, u64)>,
    recovery: Option<Recovery>,
}

impl Cluster {
    pub fn run_membership(&mut self, index: usize) {
        self.end_if_released(index);
        let now = self.now;
        self.nodes[index].pauses.record_tick(now);
        if now < self.nodes[index].members.next_tick {
            return;
        }
        self.nodes[index].members.next_tick = now + TICK_MS;
        if !self.nodes[index].acceptor.may_vote {
            self.attempt_recovery(index);
            return;
        }
        let core = self.nodes[index].acceptor.membership.clone();
        if core.members.is_empty() || !self.nodes[index].is_confirmed(now) || !self.is_coordinator(index, &core) {
            return;
        }
        if core.stable {
            self.begin_membership_change(index, &core);
        } else {
            self.advance_transition(index, &core);
        }
    }

    fn is_coordinator(&self, index: usize, core: &CoreMembership) -> bool {
        let node = &self.nodes[index];
        let leaving = node.leaving.is_some();
        let first = reconfiguration::first_member(core, &node.view, leaving, MEMBERSHIP_KEY, self.now);
        first.as_deref() == Some(&node.acceptor.ip)
    }

    fn begin_membership_change(&mut self, index: usize, core: &CoreMembership) {
        if self.has_change(index, &Purpose::MembershipChange) {
            return;
        }
        let now = self.now;
        let Some(next) = reconfiguration::next(core, &self.nodes[index].view, now) else { return };
        let version = core.version;
        let decide = move |body: &[u8]| match committed_state::decode_membership(body) {
            Some(committed) if committed.version != version || !committed.stable => Decision::Answer(None),
            _ => Decision::Write(committed_state::encode_membership(&next), None),
        };
        self.begin_change(index, MEMBERSHIP_KEY, Purpose::MembershipChange, COMMIT_TIMEOUT_MS, Box::new(decide));
    }

    fn advance_transition(&mut self, index: usize, core: &CoreMembership) {
        let now = self.now;
        let members = &mut self.nodes[index].members;
        if !members.transition.as_ref().is_some_and(|committed| committed.membership() == core) {
            members.transition = Some(MembershipTransition::new(core));
            members.announcement = None;
        }
        let transition = members.transition.as_ref().expect("a transition");
        if transition.is_done() {
            return self.finish_transition(index, core);
        }
        if !transition.is_known() {
            if members.announcement.is_some_and(|(_, deadline)| now < deadline) {
                return;
            }
            let all = quorum::old_and_new_members(core);
            let id = self.send_requests(index, core, &ConsensusOperation::Positions, &all);
            self.nodes[index].members.announcement = Some((id, now + ANNOUNCE_TIMEOUT_MS));
            return;
        }
        for key in transition.remaining_keys() {
            let purpose = Purpose::Recommit(key.clone());
            if !self.has_change(index, &purpose) {
                self.nodes[index].owned.remove(&key);
                self.begin_change(index, &key, purpose, COMMIT_TIMEOUT_MS, Box::new(|_: &[u8]| Decision::Answer(None)));
            }
        }
    }

    pub fn record_recommit(&mut self, index: usize, key: &str) {
        if let Some(transition) = &mut self.nodes[index].members.transition {
            transition.mark_recommitted(key);
        }
    }

    fn finish_transition(&mut self, index: usize, core: &CoreMembership) {
        if self.has_change(index, &Purpose::TransitionEnd) {
            return;
        }
        let version = core.version;
        let decide = move |body: &[u8]| match committed_state::decode_membership(body) {
            Some(committed) if committed.version == version && !committed.stable => {
                let stabilized_membership = stabilized(&committed);
                Decision::Write(committed_state::encode_membership(&stabilized_membership), None)
            }
            _ => Decision::Answer(None),
        };
        self.begin_change(index, MEMBERSHIP_KEY, Purpose::TransitionEnd, COMMIT_TIMEOUT_MS, Box::new(decide));
    }

    fn attempt_recovery(&mut self, index: usize) {
        let node = &self.nodes[index];
        let core = node.acceptor.membership.clone();
        let in_progress = node.members.recovery.as_ref().is_some_and(|recovery| self.now < recovery.deadline);
        if self.now < node.started_at + RECOVERY_DELAY_MS || core.members.is_empty() || in_progress {
            return;
        }
        let member = quorum::is_old_or_new_member(&core, &node.acceptor.ip);
        let others = node.acceptor.recovery_peers();
        let operation = if member { ConsensusOperation::Snapshot } else { ConsensusOperation::Positions };
        let id = self.send_requests(index, &core, &operation, &others);
        let deadline = self.now + READ_TIMEOUT_MS;
        self.nodes[index].members.recovery = Some(Recovery { id, core, deadline, from: Vec::new(), reads: Vec::new() });
    }

    /// Passes a response to the operation that it belongs to.
    pub fn dispatch_response(&mut self, index: usize, from: Address, id: u64, response: ConsensusResponse) {
        let Address::Node(from) = from else { return };
        let from = address(from);
        if self.handle_change_response(index, &from, id, &response)
            || self.handle_recovery_response(index, &from, id, &response)
        {
            return;
        }
        if self.handle_announcement_response(index, &from, id, &response) {
            return;
        }
        self.handle_confirmation_response(index, &from, id, &response);
    }

    fn handle_announcement_response(
        &mut self,
        index: usize,
        from: &str,
        id: u64,
        response: &ConsensusResponse,
    ) -> bool {
        let members = &mut self.nodes[index].members;
        if members.announcement.is_none_or(|(announcement, _)| announcement != id) {
            return false;
        }
        let Some(transition) = &mut members.transition else { return false };
        match response {
            ConsensusResponse::NewerMembership { membership } => self.adopt(index, &membership.clone()),
            response => transition.record_response(from, response),
        }
        true
    }

    fn handle_recovery_response(&mut self, index: usize, from: &str, id: u64, response: &ConsensusResponse) -> bool {
        let node = &mut self.nodes[index];
        let Some(recovery) = node.members.recovery.as_mut().filter(|recovery| recovery.id == id) else { return false };
        let current = recovery.core.version == node.acceptor.membership.version && !node.acceptor.may_vote;
        match response {
            ConsensusResponse::NewerMembership { membership } => {
                node.members.recovery = None;
                self.adopt(index, &membership.clone());
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
        self.write(index, records, None);
        true
    }
}
