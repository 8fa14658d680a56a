//! Trouble in the simulation, and the quiet end at which everything is read back.

use consensus::{quorum, Acceptor};

use super::{address, Cluster, Node};
use crate::config::body::StoredConfig;

/// How long a leaving process stays at most, as the controller has it.
const HAND_OVER_TIMEOUT_MS: u64 = 3500;
/// How long a call under way may take once a process leaves.
const DRAIN_TIMEOUT_MS: u64 = 300;

impl Cluster {
    /// The node that is cut off hears nobody and is heard by nobody but operators.
    pub fn isolate(&mut self, index: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.network.cut(index, other);
            self.network.cut(other, index);
        }
    }

    /// Nothing that this node sends arrives any more.
    pub fn block_outgoing(&mut self, index: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.network.cut(index, other);
        }
    }

    /// A loss of power: what was not synced is gone. With `wipe` the disk too.
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

    /// The process starts anew with what is on its disk.
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

    /// An empty machine at a new address.
    pub fn add_machine(&mut self) -> usize {
        let index = self.nodes.len();
        self.nodes.push(Node::new(index, &self.seeds, self.now));
        index
    }

    /// A machine that never comes back.
    pub fn remove(&mut self, index: usize) {
        self.lose_power(index, true);
        self.nodes[index].removed = true;
    }

    /// A machine that is to end in order, for good.
    pub fn terminate(&mut self, index: usize) {
        if self.guards.hand_over {
            self.nodes[index].leaving = Some(self.now);
            self.broadcast(index);
        } else {
            self.remove(index);
        }
    }

    /// A leaving process ends once the core does without it, or after a while.
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

    /// Is every controller that runs confirmed, and may it vote?
    pub fn all_confirmed(&self) -> bool {
        let mut running = self.nodes.iter().filter(|node| node.is_running());
        running.all(|node| node.is_confirmed(self.now) && node.acceptor.may_vote)
    }

    /// Heals and starts everything, lets the last orders end, and reads back what is committed.
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
        assert!(self.all_confirmed(), "a controller did not catch up in twelve seconds of calm");
        let configs: Vec<StoredConfig> = self.live().iter().map(|index| self.nodes[*index].config()).collect();
        let last = configs.into_iter().max_by_key(|config| config.revision).expect("a controller");
        self.history.check_end(&last);
        last
    }
}
