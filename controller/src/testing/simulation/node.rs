//! One simulated controller: its acceptor and disk, the committed state that it knows, and its operations in progress.

use std::collections::BTreeMap;

use consensus::{Acceptor, LogRecord, Ownership, MEMBERSHIP_KEY};
use membership::MembershipView;
use protocol::message::{ConsensusRequest, ConsensusResponse, CoreMembership, Entry, Member, Position};

use super::changes::Change;
use super::confirming::ConfirmationState;
use super::members::MembershipState;
use super::network::{Address, Envelope, Packet};
use super::operator::EVACUATION_KEY;
use super::{address, Cluster};
use crate::config::body::StoredConfig;
use crate::controller::{CONFIRMATION_TTL_MS, LIVENESS_TIMEOUT_MS};
use crate::peers::pause::PauseMonitor;
use crate::replication::committed_state::{self, EvacuationRecord, CONFIG_KEY};

/// Records queued for the disk, and the response that is sent once they are synced.
pub struct Write {
    pub due: u64,
    pub records: Vec<LogRecord>,
    pub response: Option<(Address, u64, ConsensusResponse)>,
}

/// A simulated controller. Invariants: `disk` is the synced state; `acceptor` is ahead of it by the records in
/// `writes`. All other state is lost when the process ends.
pub struct Node {
    pub index: usize,
    pub acceptor: Acceptor,
    pub disk: Acceptor,
    pub writes: Vec<Write>,
    pub up: bool,
    pub frozen: bool,
    /// The machine is removed for good and never restarted.
    pub removed: bool,
    pub incarnation: u64,
    pub started_at: u64,
    /// Messages that arrived while the process was frozen.
    pub inbox: Vec<Envelope>,
    pub committed: BTreeMap<String, Entry>,
    /// When the read began that last confirmed `committed` at a quorum.
    pub confirmed: Option<u64>,
    pub highest_term: u64,
    pub owned: BTreeMap<String, Ownership>,
    /// Changes by key; the first of each list is in progress.
    pub changes: BTreeMap<String, Vec<Change>>,
    pub confirming: ConfirmationState,
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
            confirming: ConfirmationState::default(),
            members: MembershipState::default(),
            view: MembershipView::new(&address, "", LIVENESS_TIMEOUT_MS),
            seeds: seeds.to_vec(),
            leaving: None,
            pauses: Default::default(),
            request_count: 0,
        }
    }

    /// Bootstraps the node at the first start of the system: the seeds form the core.
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

    /// Returns the configuration that the node would send to a subscriber.
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

    /// Returns the addresses of all other known controllers.
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
    /// Handles a consensus request. The response is sent once the records that it depends on are on disk.
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
        // Writes complete in order.
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

    /// Applies a committed entry at a node. With `broadcast`, it is also sent to the other nodes.
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
