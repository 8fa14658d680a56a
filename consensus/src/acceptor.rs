//! The acceptor: answers prepare and accept requests, as in "Paxos Made Simple", section 2.2.
//!
//! A pure state machine. Each request yields a response and the log records that must be on disk before the response
//! is sent. Otherwise a power loss could undo a promise that a proposer has already counted.

use std::collections::BTreeMap;

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Entry, KeyPosition, Member,
    ProposalNumber, RegisterState,
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{decode_membership, quorum, StoredRecord, MEMBERSHIP_KEY};

/// A change of an acceptor's state, as written to the log. A later record replaces an earlier one of the same register,
/// or of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum LogRecord {
    /// A register: its highest prepared proposal number and its accepted entry.
    Register(RegisterState),
    /// The newest committed core membership that the acceptor knows.
    Membership(CoreMembership),
    /// Permits the acceptor to vote. Written when it is set up as a member or has recovered from a lost disk.
    VotingEnabled,
}

kernel::impl_archive_bytes!(LogRecord);

impl StoredRecord for LogRecord {
    fn to_bytes(&self) -> Vec<u8> {
        self.to_bytes()
    }

    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        LogRecord::from_bytes(bytes)
    }
}

/// The state of one acceptor.
///
/// Invariants: the prepared number of a register and the position of its entry never decrease; the proposal number of
/// an entry is never above the prepared one; the version of the membership never decreases; an acceptor that may not
/// vote neither prepares nor accepts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// The address that identifies the acceptor in the membership.
    pub ip: String,
    /// The newest committed core membership that the acceptor knows.
    pub membership: CoreMembership,
    /// The registers by key.
    pub registers: BTreeMap<String, RegisterState>,
    /// Whether the acceptor may vote: false after a start with an empty disk, until recovery is complete.
    pub may_vote: bool,
}

impl Acceptor {
    /// Creates an acceptor without any state, which may not vote.
    pub fn new(ip: &str) -> Self {
        Acceptor { ip: ip.into(), ..Acceptor::default() }
    }

    /// Applies a record read from disk. Records must be applied in the order in which they were written.
    pub fn replay(&mut self, record: LogRecord) {
        match record {
            LogRecord::Register(register) => {
                self.registers.insert(register.key.clone(), register);
            }
            LogRecord::Membership(membership) => self.membership = membership,
            LogRecord::VotingEnabled => self.may_vote = true,
        }
    }

    /// Returns the records that restore this state in a new acceptor. [`LogRecord::VotingEnabled`] comes last.
    pub fn snapshot(&self) -> Vec<LogRecord> {
        let mut records = vec![LogRecord::Membership(self.membership.clone())];
        records.extend(self.registers.values().cloned().map(LogRecord::Register));
        if self.may_vote {
            records.push(LogRecord::VotingEnabled);
        }
        records
    }

    /// Returns whether the acceptor may vote and is a member.
    pub fn is_voting(&self) -> bool {
        self.may_vote && quorum::is_member(&self.membership, &self.ip)
    }

    /// Adopts a committed membership. Returns the record to write, or `None` if the membership is not newer than the
    /// known one. A stable membership is newer than the joint one of the same version.
    pub fn adopt_membership(&mut self, membership: &CoreMembership) -> Option<LogRecord> {
        let is_newer = membership.version > self.membership.version;
        let is_stabilized =
            membership.version == self.membership.version && membership.stable && !self.membership.stable;
        if !is_newer && !is_stabilized {
            return None;
        }
        self.membership = membership.clone();
        Some(LogRecord::Membership(membership.clone()))
    }

    /// Handles one request. Returns the response and the records that must be on disk before the response is sent.
    pub fn handle(&mut self, request: ConsensusRequest) -> (ConsensusResponse, Vec<LogRecord>) {
        if request.membership.version < self.membership.version {
            return (ConsensusResponse::NewerMembership { membership: self.membership.clone() }, Vec::new());
        }
        let mut records: Vec<LogRecord> = self.adopt_membership(&request.membership).into_iter().collect();
        let response = self.respond(request.operation, &mut records);
        (response, records)
    }

    fn respond(&mut self, operation: ConsensusOperation, records: &mut Vec<LogRecord>) -> ConsensusResponse {
        match operation {
            // An acceptor that is no longer a member still returns snapshots and positions: the keys that it holds
            // must be committed again before a membership change is complete.
            ConsensusOperation::Snapshot if self.may_vote => {
                ConsensusResponse::Snapshot { registers: self.registers.values().cloned().collect() }
            }
            ConsensusOperation::Positions if self.may_vote => {
                ConsensusResponse::Positions { positions: self.positions() }
            }
            _ if !self.is_voting() => ConsensusResponse::NonVoting,
            ConsensusOperation::Prepare { key, proposal_number } => self.prepare(&key, proposal_number, records),
            ConsensusOperation::Accept { key, entry } => self.accept(&key, entry, records),
            ConsensusOperation::Fetch { key } => {
                let register = self.registers.get(&key);
                ConsensusResponse::Fetched { entry: register.and_then(|register| register.entry.clone()) }
            }
            ConsensusOperation::Snapshot | ConsensusOperation::Positions => ConsensusResponse::NonVoting,
        }
    }

    /// Returns the position of every accepted entry, by key in ascending order.
    pub fn positions(&self) -> Vec<KeyPosition> {
        let position = |register: &RegisterState| {
            let entry = register.entry.as_ref()?;
            Some(KeyPosition { key: register.key.clone(), position: entry.position() })
        };
        self.registers.values().filter_map(position).collect()
    }

    fn register_mut(&mut self, key: &str) -> &mut RegisterState {
        let empty = || RegisterState { key: key.into(), prepared: ProposalNumber::default(), entry: None };
        self.registers.entry(key.to_string()).or_insert_with(empty)
    }

    /// Phase 1 of "Paxos Made Simple": promises to accept nothing below this number, and reports what was accepted.
    fn prepare(
        &mut self,
        key: &str,
        proposal_number: ProposalNumber,
        records: &mut Vec<LogRecord>,
    ) -> ConsensusResponse {
        let register = self.register_mut(key);
        if proposal_number <= register.prepared {
            return ConsensusResponse::Rejected { prepared: register.prepared };
        }
        register.prepared = proposal_number;
        records.push(LogRecord::Register(register.clone()));
        ConsensusResponse::Prepared { entry: register.entry.clone() }
    }

    /// Phase 2 of "Paxos Made Simple": accepts the entry unless a higher number was prepared. Since an owner writes
    /// several entries under one number, an entry with a higher index is not replaced either.
    fn accept(&mut self, key: &str, entry: Entry, records: &mut Vec<LogRecord>) -> ConsensusResponse {
        let register = self.register_mut(key);
        let accepted = register.entry.as_ref().map(Entry::position);
        let is_outdated = accepted.is_some_and(|accepted| accepted > entry.position());
        if entry.proposal_number < register.prepared || is_outdated {
            return ConsensusResponse::Rejected { prepared: register.prepared };
        }
        register.prepared = entry.proposal_number;
        register.entry = Some(entry);
        records.push(LogRecord::Register(register.clone()));
        ConsensusResponse::Accepted
    }

    /// Completes recovery with the registers of other acceptors, once [`Acceptor::has_enough_reads`] returns true. The
    /// highest proposal number that any of them prepared is adopted, since each majority that counted a lost response
    /// includes one of them. Returns the records to write.
    ///
    /// Returns `None` if a membership newer than the known one may be committed: lost responses may have been given
    /// under it, and its quorums may include none of the acceptors that were read.
    pub fn recover(&mut self, reads: Vec<Vec<RegisterState>>) -> Option<Vec<LogRecord>> {
        if accepted_membership(&reads).is_some_and(|accepted| accepted.version > self.membership.version) {
            return None;
        }
        for read in reads.into_iter().flatten() {
            self.merge(read);
        }
        self.may_vote = true;
        Some(self.snapshot())
    }

    /// Merges a register read from another acceptor: keeps the higher prepared number and the newer entry.
    fn merge(&mut self, read: RegisterState) {
        let register = self.register_mut(&read.key);
        register.prepared = register.prepared.max(read.prepared);
        let own_position = register.entry.as_ref().map(Entry::position);
        let read_position = read.entry.as_ref().map(Entry::position);
        if read_position > own_position {
            register.entry = read.entry;
        }
    }

    /// Returns whether enough acceptors were read to complete recovery.
    ///
    /// Every majority of the members (and of the previous members while the membership is joint) must include an
    /// acceptor that was read, so that no lost response is missed. Acceptors that are in recovery themselves do not
    /// count and need not be waited for.
    pub fn has_enough_reads(&self, read: &[String]) -> bool {
        let intersects_every_majority = |members: &[Member]| {
            let read_count = members.iter().filter(|member| member.ip != self.ip && read.contains(&member.ip)).count();
            read_count + quorum::majority(members.len()) > members.len()
        };
        !read.is_empty()
            && intersects_every_majority(&self.membership.members)
            && (self.membership.stable || intersects_every_majority(&self.membership.previous_members))
    }

    /// Returns the addresses that an acceptor in recovery reads: all other members and, while the membership is joint,
    /// the previous members.
    pub fn recovery_peers(&self) -> Vec<String> {
        let mut addresses = quorum::old_and_new_members(&self.membership);
        addresses.retain(|address| *address != self.ip);
        addresses
    }
}

/// Returns the newest membership that any of these acceptors has accepted, whether committed or not.
fn accepted_membership(reads: &[Vec<RegisterState>]) -> Option<CoreMembership> {
    let registers = reads.iter().flatten().filter(|register| register.key == MEMBERSHIP_KEY);
    let entries = registers.filter_map(|register| register.entry.as_ref());
    let newest = entries.max_by_key(|entry| entry.position())?;
    decode_membership(&newest.body)
}

#[cfg(test)]
#[path = "testing/unit/acceptor_tests.rs"]
mod tests;
