//! A seeded simulation of the controllers in virtual time: a network that loses, delays and reorders messages,
//! partitions, frozen processes, losses of power and of disks, replaced machines, and operators that race and retry.
//!
//! The nodes run the state machines of `consensus` and the decisions of this crate; only sockets, timers and disks are
//! simulated. `history` checks what operators were answered and what controllers confirm.

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

/// Guards that a test may switch off to show that the simulation finds the fault that they prevent.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A read is answered only after a round at a quorum.
    pub quorum_reads: bool,
    /// A committed configuration remembers the digests of the changes that led to it.
    pub digests: bool,
    /// A change is checked before it is committed.
    pub validity: bool,
    /// A relayed evacuation names the version on top of which it is made.
    pub versioned_evacuations: bool,
    /// Requests that waited in a socket while the process was frozen are not executed.
    pub stale_requests: bool,
    /// A wiped acceptor reads the others before it responds.
    pub recovery_reads: bool,
    /// A member announces its shutdown and waits to be released.
    pub hand_over: bool,
    /// A controller with a stale key accepts a newer committed entry than the one it requested.
    pub newer_entries: bool,
}

const ALL_GUARDS: Guards = Guards {
    quorum_reads: true,
    digests: true,
    validity: true,
    versioned_evacuations: true,
    stale_requests: true,
    recovery_reads: true,
    hand_over: true,
    newer_entries: true,
};

/// All machines and operators, and the network between them.
pub struct Cluster {
    pub now: u64,
    pub random: Rng,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub operators: Vec<Operator>,
    pub history: History,
    pub guards: Guards,
    /// The seed addresses in the settings of a new process.
    pub seeds: Vec<String>,
    /// The percentage of answers to operators that are lost.
    pub lost_answer_percent: u64,
    /// The longest pause of an operator before its next action, in milliseconds.
    pub max_think_time_ms: u64,
    /// Operators also send partial and invalid changes, and some actions are executed at two controllers at once.
    pub mixed_actions: bool,
}

pub fn address(index: usize) -> String {
    format!("10.0.0.{index}")
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
            lost_answer_percent: 0,
            max_think_time_ms: 300,
            mixed_actions: false,
        };
        for index in 0..size {
            let mut node = Node::new(index, &cluster.seeds, 0);
            node.bootstrap(&cluster.seeds);
            cluster.nodes.push(node);
        }
        cluster
    }

    /// Advances the time by one millisecond: delivers the messages that are due, then runs all running nodes and
    /// operators.
    pub fn step(&mut self) {
        self.now += 1;
        for envelope in self.network.due(self.now) {
            self.deliver(envelope);
        }
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_running() {
                self.run_node(index);
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
            let Packet::Answer(action_id, answer) = envelope.message else { return };
            self.receive_answer(number, action_id, answer);
            return;
        }
        let network::Address::Node(index) = envelope.to else { return };
        let node = &mut self.nodes[index];
        if !node.up || node.incarnation != envelope.incarnation {
            return;
        }
        if node.frozen {
            node.inbox.push(envelope);
            return;
        }
        self.handle(index, envelope);
    }

    /// Runs everything that a node does at the current time.
    fn run_node(&mut self, index: usize) {
        for envelope in mem::take(&mut self.nodes[index].inbox) {
            self.handle(index, envelope);
            // Each request is started before the next one is read, as may happen with tasks of a process.
            self.run_changes(index);
        }
        self.sync_disk(index);
        self.run_changes(index);
        self.run_confirmation(index);
        self.run_membership(index);
    }

    fn handle(&mut self, index: usize, envelope: network::Envelope) {
        match envelope.message {
            Packet::Request { id, request } => self.handle_request(index, envelope.from, id, request),
            Packet::Response { id, response } => self.dispatch_response(index, envelope.from, id, response),
            Packet::Heartbeat(heartbeat) => self.receive_heartbeat(index, heartbeat),
            Packet::Learn(key, entry) => self.learn(index, &key, &entry, false),
            Packet::OperatorAction(action_id, action) => self.receive_action(index, envelope.from, action_id, action),
            Packet::Close(action_id) => self.drop_action(index, envelope.from, action_id),
            Packet::Answer(..) => {}
        }
    }
}
