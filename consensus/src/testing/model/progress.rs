//! The progress check: from every state, with a majority reachable and no further faults, everything terminates.

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
    /// Runs a proposal to its end, with these machines responding to each request at once.
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
                    outcome => return Ok(outcome),
                }
            }
            return Ok(Progress::Wait);
        }
    }

    /// Checks that everything terminates from this state without further faults. The outcome depends only on the disks,
    /// so states with the same disk contents are checked once.
    pub fn check_progress(&self, state: &State) -> Result<(), Violation> {
        let mut hasher = DefaultHasher::new();
        (&state.replicas, &state.memberships, &state.acknowledged).hash(&mut hasher);
        if !self.checked_progress.borrow_mut().insert(hasher.finish()) {
            return Ok(());
        }
        let newest = state.newest_membership().clone();
        self.check_reads(state, &newest)?;
        let mut recovered = state.clone();
        self.recover_all(&mut recovered, &newest)?;
        if newest.stable {
            return self.check_reads(&recovered, &newest);
        }
        let all_machines = MachineSet::subsets(self.addresses.len()).last().expect("there is at least the empty set");
        self.check_transition(recovered.clone(), &newest, all_machines)?;
        // Any single machine may be unreachable, as long as quorums before and after the change remain.
        let is_sufficient = |reachable: &MachineSet| self.can_stabilize(&newest, *reachable);
        let mut all_but_one =
            (0..self.addresses.len()).map(|machine| all_machines.without(machine)).filter(is_sufficient);
        all_but_one.try_for_each(|reachable| self.check_transition(recovered.clone(), &newest, reachable))
    }

    /// Returns whether these machines include a quorum of the joint membership and a majority of the previous members.
    fn can_stabilize(&self, membership: &CoreMembership, reachable: MachineSet) -> bool {
        let addresses: Vec<String> = reachable.iter().map(|machine| self.addresses[machine].clone()).collect();
        let has_quorum = self.membership_info(membership).quorums.iter().any(|quorum| reachable.includes(*quorum));
        has_quorum && quorum::has_majority(&membership.previous_members, &addresses)
    }

    /// Checks that a read by any quorum that can vote finishes and returns everything that was acknowledged.
    fn check_reads(&self, state: &State, membership: &CoreMembership) -> Result<(), Violation> {
        for quorum in self.membership_info(membership).quorums.iter() {
            if quorum.iter().all(|machine| self.can_vote_under(state, machine, membership)) {
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
            _ => Err(Violation::NoProgress("a reachable quorum did not finish a read")),
        }
    }

    /// Lets all acceptors that lost their disks read the others, and checks that they vote again.
    fn recover_all(&self, state: &mut State, membership: &CoreMembership) -> Result<(), Violation> {
        state.now += ROUND_TIMEOUT_MS + RECOVERY_DELAY_MS;
        let non_voting: Vec<usize> =
            (0..state.replicas.len()).filter(|index| !state.replicas[*index].acceptor.may_vote).collect();
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
                return Err(Violation::NoProgress("an acceptor that lost its disk does not vote again"));
            }
        }
        Ok(())
    }

    /// Checks that a joint membership becomes stable while these machines are reachable, and that reads finish after
    /// it.
    fn check_transition(
        &self,
        mut state: State,
        membership: &CoreMembership,
        reachable: MachineSet,
    ) -> Result<(), Violation> {
        let mut transition = MembershipTransition::new(membership);
        let recipients = quorum::old_and_new_members(membership);
        let request =
            Shared::new(ConsensusRequest { membership: membership.clone(), operation: ConsensusOperation::Positions });
        for machine in reachable.iter().filter(|machine| recipients.contains(&self.addresses[*machine])) {
            let Answer { acceptor, response } = self.respond(machine, &state.replicas[machine].acceptor, &request)?;
            state.put_acceptor(machine, acceptor);
            transition.record_response(&self.addresses[machine], &response);
        }
        let members: MachineSet =
            self.membership_info(membership).members.iter().filter(|machine| reachable.contains(*machine)).collect();
        for key in transition.remaining_keys() {
            let read = self.run(&mut state, membership, members, Operation::Read)?;
            let is_recommitted = key == MEMBERSHIP_KEY || matches!(read, Progress::Finished { .. });
            if is_recommitted {
                transition.mark_recommitted(&key);
            }
        }
        if !transition.is_done() {
            return Err(Violation::NoProgress("a membership transition does not complete"));
        }
        let stable = stabilized(membership);
        state.memberships = Shared::new(vec![stable.clone()]);
        self.check_reads(&state, &stable)
    }
}
