//! One simulated controller: its acceptor and disk, what it knows to be committed, and what it is at work on.

use std::collections::BTreeMap;

use consensus::{Acceptor, LogRecord, Ownership, MEMBERSHIP_KEY};
use membership::MembershipView;
use protocol::message::{ConsensusRequest, ConsensusResponse, CoreMembership, Entry, Member, Position};

use super::changes::Change;
use super::confirming::Confirming;
use super::members::MembershipState;
use super::network::{Address, Envelope, Packet};
use super::operator::EVACUATION_KEY;
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
    pub index: usize,
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
    pub members: MembershipState,
    pub view: MembershipView,
    pub seeds: Vec<String>,
    pub leaving: Option<u64>,
    pub pauses: PauseMonitor,
    request_count: u64,
}

impl Node {
    pub fn new(index: usize, seeds: &[String], now: u64) -> Node {
        let address = address(index);
        Node {
            index,
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
            members: MembershipState::default(),
            view: MembershipView::new(&address, "", LIVENESS_TIMEOUT_MS),
            seeds: seeds.to_vec(),
            leaving: None,
            pauses: Default::default(),
            request_count: 0,
        }
    }

    /// The first start of the whole system: the seeds are the core.
    pub fn bootstrap(&mut self, seeds: &[String]) {
        let list = seeds.iter().map(|ip| Member { ip: ip.clone(), zone: String::new() }).collect();
        self.acceptor.membership =
            CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        self.acceptor.may_vote = true;
        self.disk = self.acceptor.clone();
    }

    pub fn is_running(&self) -> bool {
        self.up && !self.frozen
    }

    pub fn next_id(&mut self) -> u64 {
        self.request_count += 1;
        self.request_count
    }

    pub fn is_confirmed(&self, now: u64) -> bool {
        self.confirmed.is_some_and(|time| now < time + CONFIRMATION_TTL_MS)
    }

    pub fn position(&self, key: &str) -> Option<Position> {
        self.committed.get(key).map(Entry::position)
    }

    /// The configuration that it would tell a follower.
    pub fn config(&self) -> StoredConfig {
        let body = self.committed.get(CONFIG_KEY).map_or(&[][..], |entry| &entry.body);
        StoredConfig::decode(body).expect("a valid configuration")
    }

    pub fn evacuation(&self) -> EvacuationRecord {
        let body = self.committed.get(EVACUATION_KEY).map_or(&[][..], |entry| &entry.body);
        EvacuationRecord::open(body).expect("a valid evacuation record")
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
    pub fn handle_request(&mut self, index: usize, from: Address, id: u64, request: ConsensusRequest) {
        self.adopt(index, &request.membership);
        let (response, records) = self.nodes[index].acceptor.handle(request);
        self.write(index, records, Some((from, id, response)));
    }

    pub fn write(
        &mut self,
        index: usize,
        records: Vec<LogRecord>,
        response: Option<(Address, u64, ConsensusResponse)>,
    ) {
        let max_delay = if self.random.below(60) == 0 { 400 } else { 5 };
        let delay = if records.is_empty() { 0 } else { 1 + self.random.below(max_delay) };
        let node = &mut self.nodes[index];
        // The disk works in order.
        let previous_due = node.writes.last().map_or(0, |write| write.due);
        let due = previous_due.max(self.now + delay);
        node.writes.push(Write { due, records, response });
    }

    pub fn sync_disk(&mut self, index: usize) {
        while self.nodes[index].writes.first().is_some_and(|write| write.due <= self.now) {
            let write = self.nodes[index].writes.remove(0);
            write.records.into_iter().for_each(|record| self.nodes[index].disk.replay(record));
            if let Some((to, id, response)) = write.response {
                self.send(Address::Node(index), to, Packet::Response { id, response });
            }
        }
    }

    pub fn adopt(&mut self, index: usize, core: &CoreMembership) {
        if let Some(record) = self.nodes[index].acceptor.adopt_membership(core) {
            self.write(index, vec![record], None);
        }
    }

    /// A committed entry becomes known at a node; with `tell` at the others too.
    pub fn learn(&mut self, index: usize, key: &str, entry: &Entry, broadcast: bool) {
        let node = &mut self.nodes[index];
        node.highest_term = node.highest_term.max(entry.proposal_number.term);
        if node.position(key) >= Some(entry.position()) {
            return;
        }
        node.committed.insert(key.into(), entry.clone());
        if key == MEMBERSHIP_KEY {
            if let Some(core) = committed_state::decode_membership(&entry.body) {
                self.adopt(index, &core);
            }
        }
        if !broadcast {
            return;
        }
        for to in self.nodes[index].known_peers().iter().filter_map(|ip| self.node_at(ip)).collect::<Vec<_>>() {
            self.send(Address::Node(index), Address::Node(to), Packet::Learn(key.into(), entry.clone()));
        }
    }
}
