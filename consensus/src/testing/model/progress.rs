//! Progress: from every state, with a majority in touch and no further faults, everything terminates.

use std::hash::{DefaultHasher, Hash, Hasher};

use protocol::message::{ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, ProposalNumber};

use super::machines::MachineSet;
use super::scenario::Operation;
use super::shared::Shared;
use super::state::State;
use super::violation::Violation;
use super::voting::Answer;
use super::{Model, KEY};
use crate::proposal::{Progress, Proposal};
use crate::reconfiguration::{stabilized, MembershipTransition};
use crate::round::next_term;
use crate::{quorum, MEMBERSHIP_KEY, RECOVERY_DELAY_MS, ROUND_TIMEOUT_MS};

impl Model {
    /// Runs a proposal to its end with these machines answering each request at once.
    pub fn run(
        &self,
        state: &mut State,
        membership: &CoreMembership,
        machines: MachineSet,
        operation: Operation,
    ) -> Result<Progress<Vec<u8>>, Violation> {
        let proposal_number =
            ProposalNumber { term: next_term(state.highest_term(), membership), replica_id: u64::MAX };
        let mut decide = |body: &[u8]| operation.decide(body);
        let (mut proposal, mut requested) =
            Proposal::start(KEY, membership, None, proposal_number, &mut decide, state.now);
        'request: loop {
            let request =
                Shared::new(ConsensusRequest { membership: membership.clone(), operation: requested.clone() });
            for machine in machines.iter() {
                let Answer { acceptor, response } =
                    self.respond(machine, &state.replicas[machine].acceptor, &request)?;
                state.put_acceptor(machine, acceptor);
                match proposal.handle_response(
                    &self.addresses[machine],
                    ConsensusResponse::clone(&response),
                    &mut decide,
                    state.now,
                ) {
                    Progress::Wait => {}
                    Progress::Send(next) => {
                        requested = next;
                        continue 'request;
                    }
                    over => return Ok(over),
                }
            }
            return Ok(Progress::Wait);
        }
    }

    /// Goes on from this state without further faults. What is on the disks decides the outcome, so states
    /// with the same disks are looked at once.
    pub fn check_progress(&self, state: &State) -> Result<(), Violation> {
        let mut hasher = DefaultHasher::new();
        (&state.replicas, &state.memberships, &state.acknowledged).hash(&mut hasher);
        if !self.progressed.borrow_mut().insert(hasher.finish()) {
            return Ok(());
        }
        let newest = state.newest_membership().clone();
        self.check_reads(state, &newest)?;
        let mut later = state.clone();
        self.end_losses(&mut later, &newest)?;
        if newest.stable {
            return self.check_reads(&later, &newest);
        }
        let everyone = MachineSet::subsets(self.addresses.len()).last().expect("machines");
        self.check_transition(later.clone(), &newest, everyone)?;
        // One at a time may be out of touch, as long as quorums before and after the change are left.
        let stabilizes = |in_touch: &MachineSet| self.may_stabilize(&newest, *in_touch);
        let mut all_but_one = (0..self.addresses.len()).map(|machine| everyone.without(machine)).filter(stabilizes);
        all_but_one.try_for_each(|in_touch| self.check_transition(later.clone(), &newest, in_touch))
    }

    /// Are these machines a quorum of the changed membership, and a majority of the members before it?
    fn may_stabilize(&self, membership: &CoreMembership, in_touch: MachineSet) -> bool {
        let addresses: Vec<String> = in_touch.iter().map(|machine| self.addresses[machine].clone()).collect();
        let has_quorum = self.membership_facts(membership).quorums.iter().any(|quorum| in_touch.includes(*quorum));
        has_quorum && quorum::has_majority(&membership.previous_members, &addresses)
    }

    /// A read by any quorum that may vote finishes, and returns all that was acknowledged.
    fn check_reads(&self, state: &State, membership: &CoreMembership) -> Result<(), Violation> {
        for quorum in self.membership_facts(membership).quorums.iter() {
            if quorum.iter().all(|machine| self.answers(state, machine, membership)) {
                self.check_read_by(state.clone(), membership, *quorum)?;
            }
        }
        Ok(())
    }

    fn check_read_by(
        &self,
        mut state: State,
        membership: &CoreMembership,
        quorum: MachineSet,
    ) -> Result<(), Violation> {
        let acknowledged = state.acknowledged.clone();
        match self.run(&mut state, membership, quorum, Operation::Read)? {
            Progress::Finished { answer, .. } if answer.starts_with(&acknowledged) => Ok(()),
            Progress::Finished { answer, .. } => {
                Err(Violation::Lost { acknowledged: acknowledged.to_vec(), found: answer })
            }
            _ => Err(Violation::Stuck("a quorum in touch did not finish a read")),
        }
    }

    /// All acceptors that lost their disks read the others and vote again.
    fn end_losses(&self, state: &mut State, membership: &CoreMembership) -> Result<(), Violation> {
        state.now += ROUND_TIMEOUT_MS + RECOVERY_DELAY_MS;
        let non_voting: Vec<usize> =
            (0..state.replicas.len()).filter(|at| !state.replicas[*at].acceptor.may_vote).collect();
        for machine in non_voting {
            state.notify(machine, membership);
            for from in self.recovery_peers(machine, &state.replicas[machine].acceptor) {
                if state.replicas[machine].acceptor.may_vote {
                    break;
                }
                if let Some(next) = self.read_from(state, machine, from)? {
                    *state = next;
                }
            }
            if !state.replicas[machine].acceptor.may_vote {
                return Err(Violation::Stuck("an acceptor that lost its disk does not vote again"));
            }
        }
        Ok(())
    }

    /// A joint membership becomes stable while these machines are in touch, and reads finish after it.
    fn check_transition(
        &self,
        mut state: State,
        membership: &CoreMembership,
        in_touch: MachineSet,
    ) -> Result<(), Violation> {
        let mut transition = MembershipTransition::new(membership);
        let recipients = quorum::old_and_new_members(membership);
        let request =
            Shared::new(ConsensusRequest { membership: membership.clone(), operation: ConsensusOperation::Positions });
        for machine in in_touch.iter().filter(|machine| recipients.contains(&self.addresses[*machine])) {
            let Answer { acceptor, response } = self.respond(machine, &state.replicas[machine].acceptor, &request)?;
            state.put_acceptor(machine, acceptor);
            transition.record_response(&self.addresses[machine], &response);
        }
        let members: MachineSet =
            self.membership_facts(membership).members.iter().filter(|machine| in_touch.contains(*machine)).collect();
        for key in transition.remaining_keys() {
            let read = self.run(&mut state, membership, members, Operation::Read)?;
            let is_recommitted = key == MEMBERSHIP_KEY || matches!(read, Progress::Finished { .. });
            if is_recommitted {
                transition.mark_recommitted(&key);
            }
        }
        if !transition.is_done() {
            return Err(Violation::Stuck("a membership transition does not complete"));
        }
        let stable = stabilized(membership);
        state.memberships = Shared::new(vec![stable.clone()]);
        self.check_reads(&state, &stable)
    }
}
