//! A deterministic world for the ledger: virtual time, a seed, messages that are lost, doubled and
//! reordered, crashes that lose what was not synced, wiped disks, cuts. It checks that nothing
//! acknowledged is lost and that the history of a key is one line.

use std::collections::BTreeMap;
use std::{mem, str};

use kernel::clock::Rng;
use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Member, ProposalNumber, RegisterState,
};

use crate::acceptor::{Acceptor, LogRecord};
use crate::round::{self, Ownership, Round, RoundProgress};
use crate::{quorum, RECOVERY_DELAY_MS};

const KEY: &str = "k";

enum Payload {
    Request { round: u64, request: ConsensusRequest },
    Response { round: u64, response: ConsensusResponse },
}

struct Packet {
    at: u64,
    from: usize,
    to: usize,
    incarnation: u64,
    payload: Payload,
}

struct Task {
    id: u64,
    round: Round,
    /// The body this round carries, when it is a change.
    body: Option<Vec<u8>>,
}

/// Invariant: `disk` is what was synced; `acceptor` may be ahead of it by what waits in `wet`.
struct Replica {
    acceptor: Acceptor,
    disk: Acceptor,
    unsynced: Vec<(u64, Vec<LogRecord>, Option<Packet>)>,
    ownership: Option<Ownership>,
    task: Option<Task>,
    is_up: bool,
    incarnation: u64,
    started_at: u64,
    term: u64,
    reads: BTreeMap<usize, Vec<RegisterState>>,
}

pub struct World {
    now: u64,
    rng: Rng,
    replicas: Vec<Replica>,
    payload: Vec<Packet>,
    partitioned: Vec<(usize, usize)>,
    next_id: u64,
    /// Acknowledged bodies, in the order of their acknowledgement.
    pub acknowledged: Vec<Vec<u8>>,
    /// With it, a wiped acceptor votes at once: the fault that the rule prevents.
    pub skips_recovery: bool,
}

fn ip(at: usize) -> String {
    format!("10.0.0.{at}")
}

fn count(body: &[u8]) -> u64 {
    str::from_utf8(body).ok().and_then(|text| text.split('/').next()?.parse().ok()).unwrap_or(0)
}

impl Replica {
    /// An empty machine that may vote where the membership names it.
    fn empty(at: usize, membership: CoreMembership, started_at: u64) -> Replica {
        let mut acceptor = Acceptor::new(&ip(at));
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
            reads: Default::default(),
        }
    }
}

impl World {
    pub fn new(seed: u64, size: usize) -> World {
        let list = (0..size).map(|at| Member { ip: ip(at), zone: String::new() }).collect();
        let membership = CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        World {
            now: 0,
            rng: Rng::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            replicas: (0..size).map(|at| Replica::empty(at, membership.clone(), 0)).collect(),
            payload: Vec::new(),
            partitioned: Vec::new(),
            next_id: 1,
            acknowledged: Vec::new(),
            skips_recovery: false,
        }
    }

    fn post(&mut self, from: usize, to: usize, payload: Payload) {
        if self.partitioned.contains(&(from, to)) || (from != to && self.rng.below(100) < 4) {
            return;
        }
        let far = if self.rng.below(20) == 0 { 400 } else { 12 };
        let delay = if from == to { 0 } else { 1 + self.rng.below(far) };
        self.payload.push(Packet {
            at: self.now + delay,
            from,
            to,
            incarnation: self.replicas[to].incarnation,
            payload,
        });
    }

    fn broadcast(&mut self, from: usize, round: u64, membership: &CoreMembership, operation: &ConsensusOperation) {
        for to in 0..self.replicas.len() {
            if quorum::is_member(membership, &ip(to)) {
                self.post(
                    from,
                    to,
                    Payload::Request {
                        round,
                        request: ConsensusRequest { membership: membership.clone(), operation: operation.clone() },
                    },
                );
            }
        }
    }

    /// A controller begins what its state calls for: a change by a ownership, or a take-over.
    pub fn propose(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        if !replica.is_up || replica.task.as_ref().is_some_and(|task| !task.round.is_expired(self.now)) {
            return;
        }
        let membership = replica.acceptor.membership.clone();
        let (id, now) = (self.next_id, self.now);
        self.next_id += 1;
        let (round, operation, body) = match &replica.ownership {
            Some(ownership) => {
                let body = format!("{}/{at}.{id}", count(&ownership.entry.body) + 1).into_bytes();
                let (round, operation) = Round::change(KEY, membership.clone(), ownership, body.clone(), now);
                (round, operation, Some(body))
            }
            None => {
                replica.term = round::next_term(replica.term, &membership);
                let proposal_number =
                    ProposalNumber { term: replica.term, replica_id: crate::replica_id(&ip(at), replica.incarnation) };
                let (round, operation) = Round::claim(KEY, membership.clone(), proposal_number, now);
                (round, operation, None)
            }
        };
        replica.ownership = None;
        replica.task = Some(Task { id, round, body });
        self.broadcast(at, id, &membership, &operation);
    }

    fn handle_response(&mut self, at: usize, from: usize, id: u64, response: ConsensusResponse) {
        let now = self.now;
        let replica = &mut self.replicas[at];
        if let ConsensusResponse::Snapshot { registers } = &response {
            if !replica.acceptor.may_vote {
                replica.reads.insert(from, registers.clone());
                let read: Vec<String> = replica.reads.keys().map(|at| ip(*at)).collect();
                if replica.acceptor.has_enough_reads(&read) {
                    let records = replica.acceptor.recover(replica.reads.values().cloned().collect());
                    replica.unsynced.push((now + 2, records.unwrap_or_default(), None));
                }
            }
            return;
        }
        let Some(task) = replica.task.as_mut().filter(|task| task.id == id) else { return };
        match task.round.handle_response(&ip(from), response, now) {
            RoundProgress::Wait => {}
            RoundProgress::NewerMembership(membership) => {
                replica.task = None;
                let record = replica.acceptor.adopt_membership(&membership);
                replica.unsynced.push((now + 2, record.into_iter().collect(), None));
            }
            RoundProgress::Send(operation) => {
                // The second half counts under a new number: responses of the first are not for it.
                task.id = self.next_id;
                self.next_id += 1;
                let (id, membership) = (task.id, task.round.membership().clone());
                self.broadcast(at, id, &membership, &operation);
            }
            RoundProgress::Superseded(proposal_number) => {
                replica.term = replica.term.max(proposal_number.term);
                replica.task = None;
            }
            RoundProgress::Chosen(ownership) => {
                let body = task.body.take();
                replica.task = None;
                if let Some(body) = body {
                    self.acknowledged.push(body);
                }
                replica.ownership = Some(ownership);
            }
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let Packet { from, to, incarnation, payload, .. } = packet;
        if !self.replicas[to].is_up || self.replicas[to].incarnation != incarnation {
            return;
        }
        match payload {
            Payload::Response { round, response } => self.handle_response(to, from, round, response),
            Payload::Request { round, request } => {
                let (response, records) = self.replicas[to].acceptor.handle(request);
                let slow = if self.rng.below(30) == 0 { 700 } else { 6 };
                let delay = 1 + self.rng.below(slow);
                let reply = Packet {
                    at: 0,
                    from: to,
                    to: from,
                    incarnation: 0,
                    payload: Payload::Response { round, response },
                };
                let replica = &mut self.replicas[to];
                // The disk works in order: nothing is answered before what came before it is synced.
                let due = replica.unsynced.last().map_or(0, |unsynced| unsynced.0).max(self.now + delay);
                replica.unsynced.push((due, records, Some(reply)));
            }
        }
    }

    pub fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        for at in 0..self.replicas.len() {
            while self.replicas[at].is_up
                && self.replicas[at].unsynced.first().is_some_and(|unsynced| unsynced.0 <= now)
            {
                let (_, records, reply) = self.replicas[at].unsynced.remove(0);
                records.into_iter().for_each(|record| self.replicas[at].disk.replay(record));
                if let Some(reply) = reply {
                    self.post(reply.from, reply.to, reply.payload);
                }
            }
            let replica = &self.replicas[at];
            if replica.is_up
                && !replica.acceptor.may_vote
                && now >= replica.started_at + RECOVERY_DELAY_MS
                && now.is_multiple_of(50)
            {
                let (membership, others) = (replica.acceptor.membership.clone(), replica.acceptor.recovery_peers());
                self.replicas[at].reads.clear();
                for to in 0..self.replicas.len() {
                    if others.contains(&ip(to)) {
                        let request = ConsensusRequest {
                            membership: membership.clone(),
                            operation: ConsensusOperation::Snapshot,
                        };
                        self.post(at, to, Payload::Request { round: 0, request });
                    }
                }
            }
        }
        let due: Vec<Packet> = {
            let (due, rest) = mem::take(&mut self.payload).into_iter().partition(|packet| packet.at <= now);
            self.payload = rest;
            due
        };
        due.into_iter().for_each(|packet| self.deliver(packet));
    }
}

mod faults;

#[cfg(test)]
mod tests;

#[cfg(test)]
mod membership_tests;
