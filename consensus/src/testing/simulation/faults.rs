//! Faults and membership changes of the simulated cluster, and the final read.

use protocol::message::{ConsensusOperation, CoreMembership, Member};

use super::{ip, Cluster, Replica};
use crate::acceptor::Acceptor;
use crate::quorum;

impl Cluster {
    /// Simulates a power loss of a replica, which loses everything that was not synced and, with `wipe`, its disk too.
    pub fn crash(&mut self, index: usize, wipe: bool) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        replica.is_up = false;
        replica.unsynced.clear();
        (replica.ownership, replica.task) = (None, None);
        replica.reads.clear();
        if wipe {
            let membership = replica.disk.membership.clone();
            replica.disk = Acceptor::new(&ip(index));
            replica.disk.membership = membership;
            replica.disk.may_vote = self.skips_recovery;
        }
        replica.started_at = now;
    }

    /// Starts a replica that is down, with the state of its disk.
    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
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

    /// Restarts all replicas, heals the network and returns the body that a read by a majority finds.
    pub fn read_after_recovery(&mut self) -> Vec<u8> {
        self.partitioned.clear();
        (0..self.replicas.len()).for_each(|index| self.restart(index));
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
        panic!("replica 0 could not claim the key within a minute of virtual time");
    }

    /// Adds an empty replica at a new address. It has never been an acceptor, so it may become a member.
    pub fn add_replica(&mut self) -> usize {
        let index = self.replicas.len();
        let membership = self.replicas[0].acceptor.membership.clone();
        self.replicas.push(Replica::empty(index, membership, self.now));
        index
    }

    /// Changes the membership, which only replica 0 knows at first. With `joint`, the membership is joint, so that
    /// majorities of the previous members may be needed too.
    pub fn change_members(&mut self, list: Vec<usize>, joint: bool) -> CoreMembership {
        let old = self.replicas[0].acceptor.membership.clone();
        let list = list.into_iter().map(|index| Member { ip: ip(index), zone: String::new() }).collect();
        let membership =
            CoreMembership { version: old.version + 1, members: list, previous_members: old.members, stable: !joint };
        let replica = &mut self.replicas[0];
        (replica.ownership, replica.task) = (None, None);
        replica.adopt_membership(&membership, self.now);
        membership
    }

    /// Sends a membership to all replicas. Returns true once majorities of the old and the new members have it on disk.
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

    /// Tries to commit the key again under the newest membership. Returns true once it is committed.
    pub fn try_recommit(&mut self, version: u64) -> bool {
        if self.replicas[0].ownership.as_ref().is_some_and(|ownership| ownership.membership_version >= version) {
            return true;
        }
        self.propose(0);
        false
    }
}
