//! The simulated network, which delays, reorders and loses messages.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;

use protocol::message::{ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Entry};

use super::operator::{ActionId, Answer, OperatorAction};
use super::Cluster;

/// The longest delay of a message that is not late, in milliseconds.
const MAX_DELAY_MS: u64 = 8;
/// One in this many messages between nodes is late.
const LATE_ONE_OF: u64 = 25;
/// The longest delay of a late message, in milliseconds.
const MAX_LATE_DELAY_MS: u64 = 300;
/// One in this many messages between nodes is lost.
const LOST_ONE_OF: u64 = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Address {
    Node(usize),
    Operator(usize),
}

#[derive(Clone, Debug)]
pub enum Packet {
    Request {
        id: u64,
        request: ConsensusRequest,
    },
    Response {
        id: u64,
        response: ConsensusResponse,
    },
    Heartbeat(Heartbeat),
    Learn(String, Entry),
    OperatorAction(ActionId, OperatorAction),
    Answer(ActionId, Answer),
    /// The operator closed the connection on which it sent an action.
    Close(ActionId),
}

/// The heartbeat of a simulated controller.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    pub address: String,
    pub eligible: bool,
    pub leaving: bool,
    pub core: CoreMembership,
    pub peers: Vec<String>,
}

#[derive(Clone, Debug)]
pub struct Envelope {
    pub arrives_at: u64,
    pub from: Address,
    pub to: Address,
    /// The incarnation of the receiving process: a connection ends with its process.
    pub incarnation: u64,
    pub message: Packet,
}

/// Messages in transit. Invariant: `envelopes` are sorted by arrival time, then by the order in which they were sent.
#[derive(Default)]
pub struct Network {
    envelopes: BTreeMap<(u64, u64), Envelope>,
    sent: u64,
    cuts: BTreeSet<(usize, usize)>,
}

impl Network {
    pub fn send(&mut self, envelope: Envelope) {
        if let (Address::Node(from), Address::Node(to)) = (envelope.from, envelope.to) {
            if self.cuts.contains(&(from, to)) {
                return;
            }
        }
        self.sent += 1;
        self.envelopes.insert((envelope.arrives_at, self.sent), envelope);
    }

    pub fn due(&mut self, now: u64) -> Vec<Envelope> {
        let later = self.envelopes.split_off(&(now + 1, 0));
        mem::replace(&mut self.envelopes, later).into_values().collect()
    }

    /// Blocks messages from one node to another and drops those in transit.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
        let ends = (Address::Node(from), Address::Node(to));
        self.envelopes.retain(|_, envelope| (envelope.from, envelope.to) != ends);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}

impl Cluster {
    /// Sends a message with a random delay. Some messages between nodes arrive late, as after a retransmission, and a
    /// few are lost, as when a connection is reset.
    pub fn send(&mut self, from: Address, to: Address, message: Packet) {
        let between_nodes = matches!((from, to), (Address::Node(_), Address::Node(_)));
        let to_self = from == to;
        if between_nodes && !to_self && self.random.below(LOST_ONE_OF) == 0 {
            return;
        }
        let is_late = between_nodes && self.random.below(LATE_ONE_OF) == 0;
        let max_delay = if is_late { MAX_LATE_DELAY_MS } else { MAX_DELAY_MS };
        let delay = if to_self { 0 } else { 1 + self.random.below(max_delay) };
        let incarnation = match to {
            Address::Node(index) => self.nodes.get(index).map_or(0, |node| node.incarnation),
            Address::Operator(_) => 0,
        };
        self.network.send(Envelope { arrives_at: self.now + 1 + delay, from, to, incarnation, message });
    }

    /// Returns the node with an address, if there ever was one.
    pub fn node_at(&self, address: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.acceptor.ip == address)
    }

    /// Sends an operation to the nodes at these addresses and returns the id that their responses will carry.
    pub fn send_requests(
        &mut self,
        index: usize,
        core: &CoreMembership,
        operation: &ConsensusOperation,
        addresses: &[String],
    ) -> u64 {
        let id = self.nodes[index].next_id();
        for to in addresses.iter().filter_map(|address| self.node_at(address)).collect::<Vec<_>>() {
            let request = ConsensusRequest { membership: core.clone(), operation: operation.clone() };
            self.send(Address::Node(index), Address::Node(to), Packet::Request { id, request });
        }
        id
    }
}
