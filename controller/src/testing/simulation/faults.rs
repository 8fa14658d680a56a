//! Fault injection in the simulation, and the final phase without faults, in which the committed state is checked.

use consensus::{quorum, Acceptor};

use super::{address, Cluster, Node};
use crate::config::body::StoredConfig;

/// How long a leaving process waits to be released, in milliseconds; the same as in `replication::reconfiguration`.
const HAND_OVER_TIMEOUT_MS: u64 = 3500;
/// How long a leaving process keeps running for calls in progress, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 300;

impl Cluster {
    /// Cuts a node off from all other nodes in both directions. Operators still reach it.
    pub fn isolate(&mut self, index: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.network.cut(index, other);
            self.network.cut(other, index);
        }
    }

    /// Drops everything that a node sends to other nodes.
    pub fn block_outgoing(&mut self, index: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.network.cut(index, other);
        }
    }

    /// Simulates a power loss: unsynced writes are lost, and with `wipe` the disk too.
    pub fn lose_power(&mut self, index: usize, wipe: bool) {
        let skip_recovery = !self.guards.recovery_reads;
        let node = &mut self.nodes[index];
        node.up = false;
        node.writes.clear();
        if wipe {
            let core = node.disk.membership.clone();
            node.disk = Acceptor::new(&address(index));
            if skip_recovery {
                node.disk.membership = core;
                node.disk.may_vote = true;
            }
        }
    }

    /// Restarts the process of a node with the state on its disk.
    pub fn start(&mut self, index: usize) {
        let old = &self.nodes[index];
        if old.up || old.removed {
            return;
        }
        let mut node = Node::new(index, &self.seeds, self.now);
        node.incarnation = old.incarnation + 1;
        node.disk = old.disk.clone();
        node.acceptor = old.disk.clone();
        self.nodes[index] = node;
    }

    /// Adds a machine with an empty disk at a new address.
    pub fn add_machine(&mut self) -> usize {
        let index = self.nodes.len();
        self.nodes.push(Node::new(index, &self.seeds, self.now));
        index
    }

    /// Removes a machine for good.
    pub fn remove(&mut self, index: usize) {
        self.lose_power(index, true);
        self.nodes[index].removed = true;
    }

    /// Shuts a machine down gracefully and for good.
    pub fn terminate(&mut self, index: usize) {
        if self.guards.hand_over {
            self.nodes[index].leaving = Some(self.now);
            self.broadcast(index);
        } else {
            self.remove(index);
        }
    }

    /// Ends a leaving process once it is no longer a core member, or after a timeout.
    pub fn end_if_released(&mut self, index: usize) {
        let Some(since) = self.nodes[index].leaving else { return };
        let core = &self.nodes[index].acceptor.membership;
        let released = core.stable && !quorum::is_member(core, &address(index));
        let waited = self.now - since;
        if (released && waited >= DRAIN_TIMEOUT_MS) || waited >= HAND_OVER_TIMEOUT_MS + DRAIN_TIMEOUT_MS {
            self.remove(index);
        }
    }

    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = true;
    }

    pub fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
    }

    pub fn live(&self) -> Vec<usize> {
        self.nodes.iter().filter(|node| node.is_running()).map(|node| node.index).collect()
    }

    /// Returns whether all running controllers are confirmed and may vote.
    pub fn all_confirmed(&self) -> bool {
        let mut running = self.nodes.iter().filter(|node| node.is_running());
        running.all(|node| node.is_confirmed(self.now) && node.acceptor.may_vote)
    }

    /// Heals all cuts, restarts all nodes, lets the last actions finish, and checks and returns the committed
    /// configuration.
    pub fn finish(&mut self) -> StoredConfig {
        self.network.heal();
        for index in 0..self.nodes.len() {
            self.thaw(index);
            self.start(index);
        }
        self.run(4000);
        self.operators.iter_mut().for_each(|operator| operator.active = false);
        self.lost_answer_percent = 0;
        self.run(8000);
        assert!(self.all_confirmed(), "a controller did not catch up in twelve seconds without faults");
        let configs: Vec<StoredConfig> = self.live().iter().map(|index| self.nodes[*index].config()).collect();
        let last = configs.into_iter().max_by_key(|config| config.revision).expect("a controller");
        self.history.check_end(&last);
        last
    }
}
