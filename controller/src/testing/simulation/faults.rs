//! Trouble in the simulation, and the quiet end at which everything is read back.

use consensus::{quorum, Acceptor};

use super::{address, Cluster, Node};
use crate::config::body::StoredConfig;

/// How long a leaving process stays at most, as the controller has it.
const HAND_OVER_MS: u64 = 3500;
/// How long a call under way may take once a process leaves.
const LAST_CALLS_MS: u64 = 300;

impl Cluster {
    /// The node that is cut off hears nobody and is heard by nobody but operators.
    pub fn isolate(&mut self, at: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            self.network.cut(at, other);
            self.network.cut(other, at);
        }
    }

    /// Nothing that this node sends arrives any more.
    pub fn silence(&mut self, at: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != at) {
            self.network.cut(at, other);
        }
    }

    /// A loss of power: what was not synced is gone. With `wipe` the disk too.
    pub fn lose_power(&mut self, at: usize, wipe: bool) {
        let hasty = !self.guards.recovery_reads;
        let node = &mut self.nodes[at];
        node.up = false;
        node.writes.clear();
        if wipe {
            let core = node.disk.membership.clone();
            node.disk = Acceptor::new(&address(at));
            if hasty {
                node.disk.membership = core;
                node.disk.may_vote = true;
            }
        }
    }

    /// The process starts anew with what is on its disk.
    pub fn start(&mut self, at: usize) {
        let old = &self.nodes[at];
        if old.up || old.removed {
            return;
        }
        let mut node = Node::new(at, &self.seeds, self.now);
        node.incarnation = old.incarnation + 1;
        node.disk = old.disk.clone();
        node.acceptor = old.disk.clone();
        self.nodes[at] = node;
    }

    /// An empty machine at a new address.
    pub fn add_machine(&mut self) -> usize {
        let at = self.nodes.len();
        self.nodes.push(Node::new(at, &self.seeds, self.now));
        at
    }

    /// A machine that never comes back.
    pub fn remove(&mut self, at: usize) {
        self.lose_power(at, true);
        self.nodes[at].removed = true;
    }

    /// A machine that is to end in order, for good.
    pub fn terminate(&mut self, at: usize) {
        if self.guards.hand_over {
            self.nodes[at].leaving = Some(self.now);
            self.broadcast(at);
        } else {
            self.remove(at);
        }
    }

    /// A leaving process ends once the core does without it, or after a while.
    pub fn end_if_released(&mut self, at: usize) {
        let Some(since) = self.nodes[at].leaving else { return };
        let core = &self.nodes[at].acceptor.membership;
        let released = core.stable && !quorum::is_member(core, &address(at));
        let waited = self.now - since;
        if (released && waited >= LAST_CALLS_MS) || waited >= HAND_OVER_MS + LAST_CALLS_MS {
            self.remove(at);
        }
    }

    pub fn freeze(&mut self, at: usize) {
        self.nodes[at].frozen = true;
    }

    pub fn thaw(&mut self, at: usize) {
        self.nodes[at].frozen = false;
    }

    pub fn live(&self) -> Vec<usize> {
        self.nodes.iter().filter(|node| node.runs()).map(|node| node.at).collect()
    }

    /// Is every controller that runs confirmed, and may it vote?
    pub fn all_confirmed(&self) -> bool {
        let mut running = self.nodes.iter().filter(|node| node.runs());
        running.all(|node| node.is_confirmed(self.now) && node.acceptor.may_vote)
    }

    /// Heals and starts everything, lets the last orders end, and reads back what is committed.
    pub fn finish(&mut self) -> StoredConfig {
        self.network.heal();
        for at in 0..self.nodes.len() {
            self.thaw(at);
            self.start(at);
        }
        self.run(4000);
        self.operators.iter_mut().for_each(|operator| operator.active = false);
        self.lost_answers = 0;
        self.run(8000);
        assert!(self.all_confirmed(), "a controller did not catch up in twelve seconds of calm");
        let held: Vec<StoredConfig> = self.live().iter().map(|at| self.nodes[*at].config()).collect();
        let last = held.into_iter().max_by_key(|held| held.revision).expect("a controller");
        self.history.check_end(&last);
        last
    }
}
