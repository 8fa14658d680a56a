//! A seeded simulation of the controllers in virtual time: a network that loses, delays and reorders, cuts,
//! frozen processes, losses of power and of disks, replaced machines, operators that race and send again.
//! The nodes run the state machines of `consensus` and the decisions of this crate; only what carries them
//! (sockets, timers, the disk) is simulated. `history` checks what operators and subscribers got.

use std::mem;

use history::History;
use kernel::Rng;
use network::{Network, Packet};
use node::Node;
use operator::Operator;

mod bodies;
mod changes;
mod confirming;
mod faults;
mod history;
mod members;
mod network;
mod node;
mod operator;

mod catch_up_tests;
mod halves_tests;
mod isolation_tests;
mod orders_tests;
mod replacement_tests;
mod restart_tests;

/// Guards that a test may switch off to show that the simulation finds the fault they prevent.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A read is answered only after a round at a quorum.
    pub quorum_reads: bool,
    /// A committed configuration remembers the digests of the changes it came from.
    pub digests: bool,
    /// A change is checked before it is committed.
    pub validity: bool,
    /// A relayed evacuation names the version that it is made on top of.
    pub versioned_evacuations: bool,
    /// Requests that waited in a socket while the process stood still are not carried out.
    pub stale_orders: bool,
    /// A wiped acceptor reads the others before it responds.
    pub recovery_reads: bool,
    /// A member tells that it is about to end, and waits to be released.
    pub hand_over: bool,
    /// A controller that is behind takes a newer committed entry than the one it asked for.
    pub newer_entries: bool,
}

const ALL_GUARDS: Guards = Guards {
    quorum_reads: true,
    digests: true,
    validity: true,
    versioned_evacuations: true,
    stale_orders: true,
    recovery_reads: true,
    hand_over: true,
    newer_entries: true,
};

/// All machines, operators and the network between them.
pub struct Cluster {
    pub now: u64,
    pub random: Rng,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub operators: Vec<Operator>,
    pub history: History,
    pub guards: Guards,
    /// The addresses that a new process is told.
    pub seeds: Vec<String>,
    /// Of a hundred answers to operators, so many are lost.
    pub lost_answers: u64,
    /// The longest time that an operator rests before its next order.
    pub max_pause_ms: u64,
    /// Operators send changes of named items and invalid ones too, and some orders are carried out at two controllers at once.
    pub mixed_orders: bool,
}

pub fn address(at: usize) -> String {
    format!("10.0.0.{at}")
}

impl Cluster {
    pub fn new(seed: u64, size: usize, operators: usize) -> Cluster {
        let seeds: Vec<String> = (0..size).map(address).collect();
        let mut cluster = Cluster {
            now: 0,
            random: Rng::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            nodes: Vec::new(),
            network: Network::default(),
            operators: (0..operators).map(Operator::new).collect(),
            history: History::default(),
            guards: ALL_GUARDS,
            seeds,
            lost_answers: 0,
            max_pause_ms: 300,
            mixed_orders: false,
        };
        for at in 0..size {
            let mut node = Node::new(at, &cluster.seeds, 0);
            node.found(&cluster.seeds);
            cluster.nodes.push(node);
        }
        cluster
    }

    /// One millisecond: what is due is delivered, then every process that runs does what is due.
    pub fn step(&mut self) {
        self.now += 1;
        for envelope in self.network.due(self.now) {
            self.deliver(envelope);
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].runs() {
                self.run_node(at);
            }
        }
        for number in 0..self.operators.len() {
            self.run_operator(number);
        }
    }

    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.step();
        }
    }

    fn deliver(&mut self, envelope: network::Envelope) {
        if let network::Address::Operator(number) = envelope.to {
            let Packet::Answer(attempt, answer) = envelope.message else { return };
            self.receive_answer(number, attempt, answer);
            return;
        }
        let network::Address::Node(at) = envelope.to else { return };
        let node = &mut self.nodes[at];
        if !node.up || node.incarnation != envelope.incarnation {
            return;
        }
        if node.frozen {
            node.inbox.push(envelope);
            return;
        }
        self.handle(at, envelope);
    }

    /// Everything that a node does by itself at this time.
    fn run_node(&mut self, at: usize) {
        for envelope in mem::take(&mut self.nodes[at].inbox) {
            self.handle(at, envelope);
            // Each is begun before the next is read, as tasks of a process may be.
            self.run_changes(at);
        }
        self.sync_disk(at);
        self.run_changes(at);
        self.run_confirmation(at);
        self.run_membership(at);
    }

    fn handle(&mut self, at: usize, envelope: network::Envelope) {
        match envelope.message {
            Packet::Poll { id, poll } => self.handle_request(at, envelope.from, id, poll),
            Packet::Response { id, response } => self.receive_response(at, envelope.from, id, response),
            Packet::Heartbeat(heartbeat) => self.receive_heartbeat(at, heartbeat),
            Packet::Learn(key, entry) => self.learn(at, &key, &entry, false),
            Packet::OperatorAction(attempt, order) => self.receive_action(at, envelope.from, attempt, order),
            Packet::Close(attempt) => self.drop_action(at, envelope.from, attempt),
            Packet::Answer(..) => {}
        }
    }
}
