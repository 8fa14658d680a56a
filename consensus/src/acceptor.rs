//! The voting side: a pure state machine. Each request gives A response, and what must be on disk before
//! that vote may leave.

use std::collections::BTreeMap;

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Entry, KeyPosition, Member,
    ProposalNumber, RegisterState,
};

use crate::{decode_membership, quorum, MEMBERSHIP_KEY};

/// What goes to disk, in order.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum LogRecord {
    Register(RegisterState),
    Membership(CoreMembership),
    /// From here on this disk may vote.
    VotingEnabled,
}

/// Invariants: `register[..].prepared` and the position of each entry never go back; an entry's proposal number is
/// never above what is prepared; `membership.version` never goes back; an acceptor that may not vote (`may_vote`) neither
/// promises nor accepts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    pub ip: String,
    pub membership: CoreMembership,
    pub registers: BTreeMap<String, RegisterState>,
    pub may_vote: bool,
}

impl Acceptor {
    pub fn new(ip: &str) -> Self {
        Acceptor { ip: ip.into(), ..Acceptor::default() }
    }

    /// Folds what was found on disk.
    pub fn replay(&mut self, record: LogRecord) {
        match record {
            LogRecord::Register(register) => {
                self.registers.insert(register.key.clone(), register);
            }
            LogRecord::Membership(membership) => self.membership = membership,
            LogRecord::VotingEnabled => self.may_vote = true,
        }
    }

    /// All that a snapshot must hold.
    pub fn snapshot(&self) -> Vec<LogRecord> {
        let mut list = vec![LogRecord::Membership(self.membership.clone())];
        list.extend(self.registers.values().cloned().map(LogRecord::Register));
        if self.may_vote {
            list.push(LogRecord::VotingEnabled);
        }
        list
    }

    pub fn is_voting(&self) -> bool {
        self.may_vote && quorum::is_member(&self.membership, &self.ip)
    }

    /// Takes over a committed membership. None when it is no newer.
    pub fn adopt_membership(&mut self, membership: &CoreMembership) -> Option<LogRecord> {
        let newer = membership.version > self.membership.version;
        let calmer = membership.version == self.membership.version && membership.stable && !self.membership.stable;
        if !newer && !calmer {
            return None;
        }
        self.membership = membership.clone();
        Some(LogRecord::Membership(membership.clone()))
    }

    pub fn handle(&mut self, handle: ConsensusRequest) -> (ConsensusResponse, Vec<LogRecord>) {
        if handle.membership.version < self.membership.version {
            return (ConsensusResponse::NewerMembership { membership: self.membership.clone() }, Vec::new());
        }
        let mut records: Vec<LogRecord> = self.adopt_membership(&handle.membership).into_iter().collect();
        let response = match handle.operation {
            // A disk's whole content is also given by one that may not vote: the reader asks `may_vote`.
            ConsensusOperation::Snapshot if self.may_vote => {
                ConsensusResponse::Snapshot { registers: self.registers.values().cloned().collect() }
            }
            // The positions, too, by one that is no member any more: its keys are part of a change's transition.
            ConsensusOperation::Positions if self.may_vote => {
                ConsensusResponse::Positions { positions: self.positions() }
            }
            _ if !self.is_voting() => ConsensusResponse::NonVoting,
            ConsensusOperation::Prepare { key, proposal_number } => self.prepare(key, proposal_number, &mut records),
            ConsensusOperation::Accept { key, entry } => self.accept(key, entry, &mut records),
            ConsensusOperation::Fetch { key } => ConsensusResponse::Fetched {
                entry: self.registers.get(&key).and_then(|register| register.entry.clone()),
            },
            ConsensusOperation::Snapshot | ConsensusOperation::Positions => ConsensusResponse::NonVoting,
        };
        (response, records)
    }

    pub fn positions(&self) -> Vec<KeyPosition> {
        let held =
            self.registers.values().filter_map(|register| register.entry.as_ref().map(|entry| (register, entry)));
        held.map(|(register, entry)| KeyPosition { key: register.key.clone(), position: entry.position() }).collect()
    }

    fn register(&mut self, key: &str) -> &mut RegisterState {
        let empty = || RegisterState { key: key.into(), prepared: Default::default(), entry: None };
        self.registers.entry(key.to_string()).or_insert_with(empty)
    }

    fn prepare(
        &mut self,
        key: String,
        proposal_number: ProposalNumber,
        records: &mut Vec<LogRecord>,
    ) -> ConsensusResponse {
        let register = self.register(&key);
        if proposal_number <= register.prepared {
            return ConsensusResponse::Rejected { prepared: register.prepared };
        }
        register.prepared = proposal_number;
        records.push(LogRecord::Register(register.clone()));
        ConsensusResponse::Prepared { entry: register.entry.clone() }
    }

    fn accept(&mut self, key: String, entry: Entry, records: &mut Vec<LogRecord>) -> ConsensusResponse {
        let register = self.register(&key);
        let held = register.entry.as_ref().map(Entry::position);
        if entry.proposal_number < register.prepared || held.is_some_and(|position| position > entry.position()) {
            return ConsensusResponse::Rejected { prepared: register.prepared };
        }
        register.prepared = entry.proposal_number;
        register.entry = Some(entry);
        records.push(LogRecord::Register(register.clone()));
        ConsensusResponse::Accepted
    }

    /// Ends a loss of memory with what `enough` other acceptors hold. The highest promise of any of them
    /// binds, since one of them was part of each lost majority.
    ///
    /// None: a membership newer than the one that is known here may be committed. Responses that were lost may have been
    /// given under it, and its quorums need no acceptor that was read.
    pub fn recover(&mut self, reads: Vec<Vec<RegisterState>>) -> Option<Vec<LogRecord>> {
        if accepted_membership(&reads).is_some_and(|written| written.version > self.membership.version) {
            return None;
        }
        for read in reads.into_iter().flatten() {
            let register = self.register(&read.key.clone());
            register.prepared = register.prepared.max(read.prepared);
            let mine = register.entry.as_ref().map(Entry::position);
            let held = read.entry.as_ref().map(Entry::position);
            if held > mine {
                register.entry = read.entry;
            }
        }
        self.may_vote = true;
        Some(self.snapshot())
    }

    /// Have enough acceptors been read to end a loss of memory? Every majority of the membership (and of the one
    /// before, while that is unsettled) must hold one of them, so that no lost vote goes unseen. Acceptors
    /// that are themselves that lost its disk do not count, and need not be waited for.
    pub fn has_enough_reads(&self, read: &[String]) -> bool {
        let meets = |list: &[Member]| {
            let seen = list.iter().filter(|member| member.ip != self.ip && read.contains(&member.ip)).count();
            seen + quorum::majority(list.len()) > list.len()
        };
        !read.is_empty()
            && meets(&self.membership.members)
            && (self.membership.stable || meets(&self.membership.previous_members))
    }

    /// Those whom an acceptor that lost its disk asks: all others of the membership and of the one before.
    pub fn recovery_peers(&self) -> Vec<String> {
        let mut list = quorum::old_and_new_members(&self.membership);
        list.retain(|address| *address != self.ip);
        list
    }
}

/// The newest membership that any of these acceptors accepted, committed or not.
fn accepted_membership(reads: &[Vec<RegisterState>]) -> Option<CoreMembership> {
    let entries = reads
        .iter()
        .flatten()
        .filter(|register| register.key == MEMBERSHIP_KEY)
        .filter_map(|register| register.entry.as_ref());
    decode_membership(&entries.max_by_key(|entry| entry.position())?.body)
}

#[cfg(test)]
#[path = "testing/unit/acceptor_tests.rs"]
mod tests;
