//! A deterministic simulation of one register in virtual time, driven by a seed: messages are lost and reordered,
//! crashes lose what was not synced, disks are wiped and connections are cut. It checks that no acknowledged change is
//! lost and that the key has a single history.

use std::collections::BTreeMap;
use std::{mem, str};

use kernel::Rng;
use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Member, ProposalNumber, RegisterState,
};

use crate::acceptor::{Acceptor, LogRecord};
use crate::round::{next_term, Ownership, Round, RoundProgress};
use crate::{quorum, replica_id, RECOVERY_DELAY_MS};

mod faults;
mod membership_tests;
mod tests;

const KEY: &str = "k";
/// The write latency of records that no response waits for, in milliseconds.
const LOCAL_WRITE_MS: u64 = 2;
/// The interval at which an acceptor in recovery reads the others, in milliseconds.
const RECOVERY_READ_INTERVAL_MS: u64 = 50;

enum Payload {
    Request { round: u64, request: ConsensusRequest },
    Response { round: u64, response: ConsensusResponse },
}

struct Packet {
    arrives_at: u64,
    from: usize,
    to: usize,
    /// The incarnation of the receiver when the packet was sent, since a connection does not survive a restart.
    incarnation: u64,
    payload: Payload,
}

struct Task {
    id: u64,
    round: Round,
    /// The body that this round commits, if it is a change.
    body: Option<Vec<u8>>,
}

/// A response that is sent once the records before it are on disk.
struct Reply {
    to: usize,
    payload: Payload,
}

/// Records whose write has not been synced yet.
struct PendingWrite {
    synced_at: u64,
    records: Vec<LogRecord>,
    reply: Option<Reply>,
}

/// A machine that acts as acceptor and proposer. Invariant: `disk` is the synced state; `acceptor` may be ahead of it
/// by the records in `unsynced`.
struct Replica {
    acceptor: Acceptor,
    disk: Acceptor,
    unsynced: Vec<PendingWrite>,
    ownership: Option<Ownership>,
    task: Option<Task>,
    is_up: bool,
    incarnation: u64,
    started_at: u64,
    term: u64,
    reads: BTreeMap<usize, Vec<RegisterState>>,
}

/// The simulated cluster: its replicas, its network and the acknowledged changes.
pub struct Cluster {
    now: u64,
    rng: Rng,
    replicas: Vec<Replica>,
    in_transit: Vec<Packet>,
    /// The connections that are cut, as pairs of sender and receiver.
    partitioned: Vec<(usize, usize)>,
    next_id: u64,
    /// The acknowledged bodies, in the order of their acknowledgement.
    pub acknowledged: Vec<Vec<u8>>,
    /// Whether a wiped acceptor votes at once, the defect that recovery prevents.
    pub skips_recovery: bool,
}

fn ip(index: usize) -> String {
    format!("10.0.0.{index}")
}

/// Returns the number of changes that a body records.
fn change_count(body: &[u8]) -> u64 {
    str::from_utf8(body).ok().and_then(|text| text.split('/').next()?.parse().ok()).unwrap_or(0)
}

impl Replica {
    /// Returns a machine with an empty register that may vote if it is a member.
    fn empty(index: usize, membership: CoreMembership, started_at: u64) -> Replica {
        let mut acceptor = Acceptor::new(&ip(index));
        (acceptor.membership, acceptor.may_vote) = (membership, true);
        Replica {
            disk: acceptor.clone(),
            acceptor,
            unsynced: Vec::new(),
            ownership: None,
            task: None,
            is_up: true,
            incarnation: 1,
            started_at,
            term: 0,
            reads: BTreeMap::new(),
        }
    }

    fn adopt_membership(&mut self, membership: &CoreMembership, now: u64) {
        let record = self.acceptor.adopt_membership(membership);
        self.write(record.into_iter().collect(), now);
    }

    /// Writes records that no response waits for.
    fn write(&mut self, records: Vec<LogRecord>, now: u64) {
        self.unsynced.push(PendingWrite { synced_at: now + LOCAL_WRITE_MS, records, reply: None });
    }

    /// Starts a change if the replica owns the key, else a claim. Returns the round, its operation and, for a change,
    /// the body that it commits.
    fn begin_round(&mut self, index: usize, id: u64, now: u64) -> (Round, ConsensusOperation, Option<Vec<u8>>) {
        let membership = self.acceptor.membership.clone();
        if let Some(ownership) = self.ownership.take() {
            let body = format!("{}/{index}.{id}", change_count(&ownership.entry.body) + 1).into_bytes();
            let (round, operation) = Round::change(KEY, membership, &ownership, body.clone(), now);
            return (round, operation, Some(body));
        }
        self.term = next_term(self.term, &membership);
        let replica_id = replica_id(&ip(index), self.incarnation);
        let proposal_number = ProposalNumber { term: self.term, replica_id };
        let (round, operation) = Round::claim(KEY, membership, proposal_number, now);
        (round, operation, None)
    }

    fn record_read(&mut self, from: usize, registers: &[RegisterState], now: u64) {
        if self.acceptor.may_vote {
            return;
        }
        self.reads.insert(from, registers.to_vec());
        let read: Vec<String> = self.reads.keys().map(|index| ip(*index)).collect();
        if self.acceptor.has_enough_reads(&read) {
            let records = self.acceptor.recover(self.reads.values().cloned().collect());
            self.write(records.unwrap_or_default(), now);
        }
    }

    fn should_read_others(&self, now: u64) -> bool {
        let is_ready = now >= self.started_at + RECOVERY_DELAY_MS && now.is_multiple_of(RECOVERY_READ_INTERVAL_MS);
        self.is_up && !self.acceptor.may_vote && is_ready
    }
}

impl Cluster {
    pub fn new(seed: u64, size: usize) -> Cluster {
        let members = (0..size).map(|index| Member { ip: ip(index), zone: String::new() }).collect();
        let membership = CoreMembership { version: 1, members, previous_members: Vec::new(), stable: true };
        Cluster {
            now: 0,
            rng: Rng::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            replicas: (0..size).map(|index| Replica::empty(index, membership.clone(), 0)).collect(),
            in_transit: Vec::new(),
            partitioned: Vec::new(),
            next_id: 1,
            acknowledged: Vec::new(),
            skips_recovery: false,
        }
    }

    fn send(&mut self, from: usize, to: usize, payload: Payload) {
        if self.partitioned.contains(&(from, to)) || (from != to && self.rng.below(100) < 4) {
            return;
        }
        let longest_delay = if self.rng.below(20) == 0 { 400 } else { 12 };
        let delay = if from == to { 0 } else { 1 + self.rng.below(longest_delay) };
        let incarnation = self.replicas[to].incarnation;
        self.in_transit.push(Packet { arrives_at: self.now + delay, from, to, incarnation, payload });
    }

    fn broadcast(&mut self, from: usize, round: u64, membership: &CoreMembership, operation: &ConsensusOperation) {
        for to in 0..self.replicas.len() {
            if quorum::is_member(membership, &ip(to)) {
                self.send_request(from, to, round, membership, operation);
            }
        }
    }

    fn send_request(
        &mut self,
        from: usize,
        to: usize,
        round: u64,
        membership: &CoreMembership,
        operation: &ConsensusOperation,
    ) {
        let request = ConsensusRequest { membership: membership.clone(), operation: operation.clone() };
        self.send(from, to, Payload::Request { round, request });
    }

    fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Lets a replica begin a change if it owns the key, else a claim. Does nothing while another round is in progress.
    pub fn propose(&mut self, index: usize) {
        let replica = &self.replicas[index];
        if !replica.is_up || replica.task.as_ref().is_some_and(|task| !task.round.is_expired(self.now)) {
            return;
        }
        let id = self.take_id();
        let replica = &mut self.replicas[index];
        let (round, operation, body) = replica.begin_round(index, id, self.now);
        let membership = round.membership().clone();
        replica.task = Some(Task { id, round, body });
        self.broadcast(index, id, &membership, &operation);
    }

    fn handle_response(&mut self, index: usize, from: usize, id: u64, response: ConsensusResponse) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        if let ConsensusResponse::Snapshot { registers } = &response {
            return replica.record_read(from, registers, now);
        }
        let Some(task) = replica.task.as_mut().filter(|task| task.id == id) else { return };
        match task.round.handle_response(&ip(from), response, now) {
            RoundProgress::Wait => {}
            RoundProgress::NewerMembership(membership) => {
                replica.task = None;
                replica.adopt_membership(&membership, now);
            }
            RoundProgress::Send(operation) => self.begin_second_phase(index, &operation),
            RoundProgress::Superseded(proposal_number) => {
                replica.term = replica.term.max(proposal_number.term);
                replica.task = None;
            }
            RoundProgress::Chosen(ownership) => {
                let body = task.body.take();
                replica.task = None;
                replica.ownership = Some(ownership);
                self.acknowledged.extend(body);
            }
        }
    }

    /// Begins the second phase under a new id, so that responses to the first do not count for it.
    fn begin_second_phase(&mut self, index: usize, operation: &ConsensusOperation) {
        let id = self.take_id();
        let task = self.replicas[index].task.as_mut().expect("the round is in progress");
        task.id = id;
        let membership = task.round.membership().clone();
        self.broadcast(index, id, &membership, operation);
    }

    fn deliver(&mut self, packet: Packet) {
        let Packet { from, to, incarnation, payload, .. } = packet;
        if !self.replicas[to].is_up || self.replicas[to].incarnation != incarnation {
            return;
        }
        match payload {
            Payload::Response { round, response } => self.handle_response(to, from, round, response),
            Payload::Request { round, request } => self.handle_request(to, from, round, request),
        }
    }

    fn handle_request(&mut self, index: usize, from: usize, round: u64, request: ConsensusRequest) {
        let (response, records) = self.replicas[index].acceptor.handle(request);
        let longest_delay = if self.rng.below(30) == 0 { 700 } else { 6 };
        let delay = 1 + self.rng.below(longest_delay);
        let reply = Some(Reply { to: from, payload: Payload::Response { round, response } });
        let unsynced = &mut self.replicas[index].unsynced;
        // The disk syncs writes in order, so a response waits for all earlier writes.
        let earliest = unsynced.last().map_or(0, |write| write.synced_at);
        unsynced.push(PendingWrite { synced_at: earliest.max(self.now + delay), records, reply });
    }

    /// Advances the time by one millisecond.
    pub fn step(&mut self) {
        self.now += 1;
        for index in 0..self.replicas.len() {
            self.sync_writes(index);
            self.read_others(index);
        }
        let now = self.now;
        let (arrived, in_transit) =
            mem::take(&mut self.in_transit).into_iter().partition::<Vec<_>, _>(|packet| packet.arrives_at <= now);
        self.in_transit = in_transit;
        arrived.into_iter().for_each(|packet| self.deliver(packet));
    }

    fn sync_writes(&mut self, index: usize) {
        let is_synced = |write: &PendingWrite, now| write.synced_at <= now;
        while self.replicas[index].is_up
            && self.replicas[index].unsynced.first().is_some_and(|write| is_synced(write, self.now))
        {
            let replica = &mut self.replicas[index];
            let write = replica.unsynced.remove(0);
            write.records.into_iter().for_each(|record| replica.disk.replay(record));
            if let Some(reply) = write.reply {
                self.send(index, reply.to, reply.payload);
            }
        }
    }

    /// Lets an acceptor in recovery read the others.
    fn read_others(&mut self, index: usize) {
        if !self.replicas[index].should_read_others(self.now) {
            return;
        }
        let membership = self.replicas[index].acceptor.membership.clone();
        let peers = self.replicas[index].acceptor.recovery_peers();
        self.replicas[index].reads.clear();
        for to in 0..self.replicas.len() {
            if peers.contains(&ip(to)) {
                self.send_request(index, to, 0, &membership, &ConsensusOperation::Snapshot);
            }
        }
    }
}
