//! One simulated controller: its acceptor and disk, what it knows to be committed, and what it is at work on.

use std::collections::BTreeMap;

use consensus::{Acceptor, LogRecord, Ownership, MEMBERSHIP_KEY};
use membership::MembershipView;
use protocol::message::{ConsensusRequest, ConsensusResponse, CoreMembership, Entry, Member, Position};

use super::changes::Change;
use super::confirming::Confirming;
use super::members::Members;
use super::network::{Address, Envelope, Packet};
use super::operator::EVACUATION;
use super::{address, Cluster};
use crate::config::body::StoredConfig;
use crate::controller::{CONFIRMATION_TTL_MS, LIVENESS_TIMEOUT_MS};
use crate::peers::pause::PauseMonitor;
use crate::replication::committed_state::{self, EvacuationRecord, CONFIG_KEY};

/// Records on their way to the disk, and the response that may leave once they are there.
pub struct Write {
    pub due: u64,
    pub records: Vec<LogRecord>,
    pub response: Option<(Address, u64, ConsensusResponse)>,
}

/// Invariants: `disk` is what was synced; `acceptor` is ahead of it by what waits in `writes`. All else is lost
/// with the process.
pub struct Node {
    pub at: usize,
    pub acceptor: Acceptor,
    pub disk: Acceptor,
    pub writes: Vec<Write>,
    pub up: bool,
    pub frozen: bool,
    /// Gone for good: it is not started again.
    pub removed: bool,
    pub incarnation: u64,
    pub started_at: u64,
    /// Letters that arrived while the process stood still.
    pub inbox: Vec<Envelope>,
    pub committed: BTreeMap<String, Entry>,
    /// When the read began that last confirmed `committed` at a quorum.
    pub confirmed: Option<u64>,
    pub highest_term: u64,
    pub owned: BTreeMap<String, Ownership>,
    /// Changes by key: the first of each list is under way.
    pub changes: BTreeMap<String, Vec<Change>>,
    pub confirming: Confirming,
    pub members: Members,
    pub view: MembershipView,
    pub seeds: Vec<String>,
    pub leaving: Option<u64>,
    pub pauses: PauseMonitor,
    polls: u64,
}

impl Node {
    pub fn new(at: usize, seeds: &[String], now: u64) -> Node {
        let address = address(at);
        Node {
            at,
            acceptor: Acceptor::new(&address),
            disk: Acceptor::new(&address),
            writes: Vec::new(),
            up: true,
            frozen: false,
            removed: false,
            incarnation: 1,
            started_at: now,
            inbox: Vec::new(),
            committed: BTreeMap::new(),
            confirmed: None,
            highest_term: 0,
            owned: BTreeMap::new(),
            changes: BTreeMap::new(),
            confirming: Confirming::default(),
            members: Members::default(),
            view: MembershipView::new(&address, "", LIVENESS_TIMEOUT_MS),
            seeds: seeds.to_vec(),
            leaving: None,
            pauses: Default::default(),
            polls: 0,
        }
    }

    /// The first start of the whole system: the seeds are the core.
    pub fn found(&mut self, seeds: &[String]) {
        let list = seeds.iter().map(|ip| Member { ip: ip.clone(), zone: String::new() }).collect();
        self.acceptor.membership =
            CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        self.acceptor.may_vote = true;
        self.disk = self.acceptor.clone();
    }

    pub fn runs(&self) -> bool {
        self.up && !self.frozen
    }

    pub fn next_id(&mut self) -> u64 {
        self.polls += 1;
        self.polls
    }

    pub fn is_confirmed(&self, now: u64) -> bool {
        self.confirmed.is_some_and(|time| now < time + CONFIRMATION_TTL_MS)
    }

    pub fn place(&self, key: &str) -> Option<Position> {
        self.committed.get(key).map(Entry::position)
    }

    /// The configuration that it would tell a follower.
    pub fn config(&self) -> StoredConfig {
        let body = self.committed.get(CONFIG_KEY).map_or(&[][..], |entry| &entry.body);
        StoredConfig::decode(body).expect("a configuration that reads")
    }

    pub fn evacuation(&self) -> EvacuationRecord {
        let body = self.committed.get(EVACUATION).map_or(&[][..], |entry| &entry.body);
        EvacuationRecord::open(body).expect("an evacuation that reads")
    }

    pub fn is_evacuated(&self) -> bool {
        self.evacuation().evacuated
    }

    /// All that is known of other controllers.
    pub fn known_peers(&self) -> Vec<String> {
        let mut list = self.seeds.clone();
        list.extend(self.acceptor.membership.members.iter().map(|member| member.ip.clone()));
        list.extend(self.view.controllers.keys().cloned());
        list.sort();
        list.dedup();
        list.retain(|ip| *ip != self.acceptor.ip);
        list
    }
}

impl Cluster {
    /// The vote of a node leaves once what it promises is on its disk.
    pub fn handle_request(&mut self, at: usize, from: Address, id: u64, poll: ConsensusRequest) {
        self.adopt(at, &poll.membership);
        let (response, records) = self.nodes[at].acceptor.handle(poll);
        self.write(at, records, Some((from, id, response)));
    }

    pub fn write(&mut self, at: usize, records: Vec<LogRecord>, response: Option<(Address, u64, ConsensusResponse)>) {
        let slow = if self.random.below(60) == 0 { 400 } else { 5 };
        let late = if records.is_empty() { 0 } else { 1 + self.random.below(slow) };
        let node = &mut self.nodes[at];
        // The disk works in order.
        let before = node.writes.last().map_or(0, |write| write.due);
        let due = before.max(self.now + late);
        node.writes.push(Write { due, records, response });
    }

    pub fn sync_disk(&mut self, at: usize) {
        while self.nodes[at].writes.first().is_some_and(|write| write.due <= self.now) {
            let write = self.nodes[at].writes.remove(0);
            write.records.into_iter().for_each(|record| self.nodes[at].disk.replay(record));
            if let Some((to, id, response)) = write.response {
                self.send(Address::Node(at), to, Packet::Response { id, response });
            }
        }
    }

    pub fn adopt(&mut self, at: usize, core: &CoreMembership) {
        if let Some(record) = self.nodes[at].acceptor.adopt_membership(core) {
            self.write(at, vec![record], None);
        }
    }

    /// A committed entry becomes known at a node; with `tell` at the others too.
    pub fn learn(&mut self, at: usize, key: &str, entry: &Entry, broadcast: bool) {
        let node = &mut self.nodes[at];
        node.highest_term = node.highest_term.max(entry.proposal_number.term);
        if node.place(key) >= Some(entry.position()) {
            return;
        }
        node.committed.insert(key.into(), entry.clone());
        if key == MEMBERSHIP_KEY {
            if let Some(core) = committed_state::decode_membership(&entry.body) {
                self.adopt(at, &core);
            }
        }
        if !broadcast {
            return;
        }
        for to in self.nodes[at].known_peers().iter().filter_map(|ip| self.node_at(ip)).collect::<Vec<_>>() {
            self.send(Address::Node(at), Address::Node(to), Packet::Learn(key.into(), entry.clone()));
        }
    }
}
