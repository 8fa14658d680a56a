//! Faults of the simulated world, changes of its members, and the read at the end.

use protocol::message::{ConsensusOperation, CoreMembership, Member};

use super::{ip, Replica, World};
use crate::acceptor::Acceptor;
use crate::quorum;

impl World {
    /// Power loss: what is not synced is gone. `wipe`: the disk too.
    pub fn crash(&mut self, at: usize, wipe: bool) {
        let now = self.now;
        let replica = &mut self.replicas[at];
        replica.is_up = false;
        replica.unsynced.clear();
        (replica.ownership, replica.task) = (None, None);
        replica.reads.clear();
        if wipe {
            let membership = replica.disk.membership.clone();
            replica.disk = Acceptor::new(&ip(at));
            replica.disk.membership = membership;
            replica.disk.may_vote = self.skips_recovery;
        }
        replica.started_at = now;
    }

    /// Starts a replica that is down, with what is on its disk.
    pub fn restart(&mut self, at: usize) {
        let now = self.now;
        let replica = &mut self.replicas[at];
        if replica.is_up {
            return;
        }
        replica.is_up = true;
        replica.incarnation += 1;
        replica.started_at = now;
        replica.term = 0;
        replica.acceptor = replica.disk.clone();
    }

    /// Returns whether every acceptor may vote.
    pub fn all_voting(&self) -> bool {
        self.replicas.iter().all(|replica| replica.acceptor.may_vote)
    }

    /// Returns what a read at a majority finds at the end, with all replicas up.
    pub fn read_after_recovery(&mut self) -> Vec<u8> {
        self.partitioned.clear();
        (0..self.replicas.len()).for_each(|at| self.restart(at));
        for replica in &mut self.replicas {
            (replica.ownership, replica.task) = (None, None);
        }
        for _ in 0..60_000 {
            self.step();
            if let Some(ownership) = &self.replicas[0].ownership {
                return ownership.entry.body.clone();
            }
            if self.now.is_multiple_of(40) {
                self.propose(0);
            }
        }
        panic!("no reader became owner within a minute of virtual time");
    }

    /// An empty machine at a new address: never an acceptor, so it may be added.
    pub fn add_replica(&mut self) -> usize {
        let at = self.replicas.len();
        let membership = self.replicas[0].acceptor.membership.clone();
        self.replicas.push(Replica::empty(at, membership, self.now));
        at
    }

    /// The next membership, known at first to one replica only. `joint`: until it is stable, quorums of the members
    /// before it are needed too.
    pub fn change_members(&mut self, list: Vec<usize>, joint: bool) -> CoreMembership {
        let old = self.replicas[0].acceptor.membership.clone();
        let list = list.into_iter().map(|at| Member { ip: ip(at), zone: String::new() }).collect();
        let membership =
            CoreMembership { version: old.version + 1, members: list, previous_members: old.members, stable: !joint };
        let replica = &mut self.replicas[0];
        (replica.ownership, replica.task) = (None, None);
        replica.adopt_membership(&membership, self.now);
        membership
    }

    /// Announces a membership to old and new members; true once majorities of both have it on disk.
    pub fn announce(&mut self, membership: &CoreMembership) -> bool {
        for to in 0..self.replicas.len() {
            self.send_request(0, to, 0, membership, &ConsensusOperation::Positions);
        }
        let knows = |ip: &str| {
            self.replicas.iter().any(|replica| {
                replica.is_up && replica.acceptor.ip == ip && replica.disk.membership.version >= membership.version
            })
        };
        let is_known_to = |members: &[Member]| {
            let count = members.iter().filter(|member| knows(&member.ip)).count();
            count >= quorum::majority(members.len())
        };
        is_known_to(&membership.members) && is_known_to(&membership.previous_members)
    }

    /// Commits the key again under the newest membership; true once done.
    pub fn try_recommit(&mut self, version: u64) -> bool {
        if self.replicas[0].ownership.as_ref().is_some_and(|ownership| ownership.membership_version >= version) {
            return true;
        }
        self.propose(0);
        false
    }
}
