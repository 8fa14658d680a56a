//! Progress: from every state, with a majority in touch and no further trouble, everything comes to an end.

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
    /// Runs a proposal to its end with these machines answering each poll at once.
    pub fn run(
        &self,
        state: &mut State,
        core: &CoreMembership,
        machines: MachineSet,
        operation: Operation,
    ) -> Result<Progress<Vec<u8>>, Violation> {
        let ballot = ProposalNumber { term: next_term(state.highest_turn(), core), replica_id: u64::MAX };
        let mut judge = |body: &[u8]| operation.judge(body);
        let (mut proposal, mut ask) = Proposal::start(KEY, core, None, ballot, &mut judge, state.now);
        'poll: loop {
            let poll = Shared::new(ConsensusRequest { membership: core.clone(), operation: ask.clone() });
            for machine in machines.iter() {
                let Answer { voter, vote } = self.poll(machine, &state.replicas[machine].voter, &poll)?;
                state.put_voter(machine, voter);
                match proposal.handle_response(
                    &self.addresses[machine],
                    ConsensusResponse::clone(&vote),
                    &mut judge,
                    state.now,
                ) {
                    Progress::Wait => {}
                    Progress::Send(next) => {
                        ask = next;
                        continue 'poll;
                    }
                    over => return Ok(over),
                }
            }
            return Ok(Progress::Wait);
        }
    }

    /// Goes on from this state without further trouble. What is on the disks decides the outcome, so states
    /// with the same disks are looked at once.
    pub fn check_progress(&self, state: &State) -> Result<(), Violation> {
        let mut hasher = DefaultHasher::new();
        (&state.replicas, &state.cores, &state.acknowledged).hash(&mut hasher);
        if !self.progressed.borrow_mut().insert(hasher.finish()) {
            return Ok(());
        }
        let newest = state.newest_core().clone();
        self.check_reads(state, &newest)?;
        let mut later = state.clone();
        self.end_losses(&mut later, &newest)?;
        if newest.stable {
            return self.check_reads(&later, &newest);
        }
        let everyone = MachineSet::subsets(self.addresses.len()).last().expect("machines");
        self.check_settlement(later.clone(), &newest, everyone)?;
        // One at a time may be out of touch, as long as quorums before and after the change are left.
        let settles = |in_touch: &MachineSet| self.may_settle(&newest, *in_touch);
        let mut all_but_one = (0..self.addresses.len()).map(|machine| everyone.without(machine)).filter(settles);
        all_but_one.try_for_each(|in_touch| self.check_settlement(later.clone(), &newest, in_touch))
    }

    /// Are these machines a quorum of the changed core, and a majority of the members before it?
    fn may_settle(&self, core: &CoreMembership, in_touch: MachineSet) -> bool {
        let addresses: Vec<String> = in_touch.iter().map(|machine| self.addresses[machine].clone()).collect();
        let has_quorum = self.core_facts(core).quorums.iter().any(|quorum| in_touch.includes(*quorum));
        has_quorum && quorum::has_majority(&core.previous_members, &addresses)
    }

    /// A read by any quorum that may vote finishes, and returns all that was acknowledged.
    fn check_reads(&self, state: &State, core: &CoreMembership) -> Result<(), Violation> {
        for quorum in self.core_facts(core).quorums.iter() {
            if quorum.iter().all(|machine| self.answers(state, machine, core)) {
                self.check_read_by(state.clone(), core, *quorum)?;
            }
        }
        Ok(())
    }

    fn check_read_by(&self, mut state: State, core: &CoreMembership, quorum: MachineSet) -> Result<(), Violation> {
        let acknowledged = state.acknowledged.clone();
        match self.run(&mut state, core, quorum, Operation::Read)? {
            Progress::Finished { answer, .. } if answer.starts_with(&acknowledged) => Ok(()),
            Progress::Finished { answer, .. } => {
                Err(Violation::Lost { acknowledged: acknowledged.to_vec(), found: answer })
            }
            _ => Err(Violation::Stuck("a quorum in touch did not finish a read")),
        }
    }

    /// All voters without memory read the others and vote again.
    fn end_losses(&self, state: &mut State, core: &CoreMembership) -> Result<(), Violation> {
        state.now += ROUND_TIMEOUT_MS + RECOVERY_DELAY_MS;
        let mute: Vec<usize> = (0..state.replicas.len()).filter(|at| !state.replicas[*at].voter.may_vote).collect();
        for machine in mute {
            state.tell(machine, core);
            for from in self.recovery_peers(machine, &state.replicas[machine].voter) {
                if state.replicas[machine].voter.may_vote {
                    break;
                }
                if let Some(next) = self.read_from(state, machine, from)? {
                    *state = next;
                }
            }
            if !state.replicas[machine].voter.may_vote {
                return Err(Violation::Stuck("a voter that lost its disk does not vote again"));
            }
        }
        Ok(())
    }

    /// A changed core is settled while these machines are in touch, and reads finish after it.
    fn check_settlement(&self, mut state: State, core: &CoreMembership, in_touch: MachineSet) -> Result<(), Violation> {
        let mut settlement = MembershipTransition::new(core);
        let told = quorum::old_and_new_members(core);
        let poll = Shared::new(ConsensusRequest { membership: core.clone(), operation: ConsensusOperation::Positions });
        for machine in in_touch.iter().filter(|machine| told.contains(&self.addresses[*machine])) {
            let Answer { voter, vote } = self.poll(machine, &state.replicas[machine].voter, &poll)?;
            state.put_voter(machine, voter);
            settlement.record_response(&self.addresses[machine], &vote);
        }
        let members: MachineSet =
            self.core_facts(core).members.iter().filter(|machine| in_touch.contains(*machine)).collect();
        for key in settlement.remaining_keys() {
            let read = self.run(&mut state, core, members, Operation::Read)?;
            let is_renewed = key == MEMBERSHIP_KEY || matches!(read, Progress::Finished { .. });
            if is_renewed {
                settlement.mark_recommitted(&key);
            }
        }
        if !settlement.is_done() {
            return Err(Violation::Stuck("a change of the core is not settled"));
        }
        let settled = stabilized(core);
        state.cores = Shared::new(vec![settled.clone()]);
        self.check_reads(&state, &settled)
    }
}
