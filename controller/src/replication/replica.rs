//! This controller's acceptor and its disk. Each request is handled, and its records are queued for the disk, under one
//! lock.

use consensus::Acceptor;
use consensus::LogRecord;
use kernel::log_event;
use parking_lot::Mutex;
use protocol::message::{ConsensusRequest, ConsensusResponse, CoreMembership, RegisterState};

use crate::event::CORE_CHANGED;
use crate::replication::disk::Disk;

/// The acceptor of this process and the disk behind it.
///
/// Invariant: records are on disk in the order of the acceptor's responses, since the records of a request are queued
/// for the disk before the lock is released.
pub struct Replica {
    acceptor: Mutex<Acceptor>,
    disk: Disk,
}

impl Replica {
    /// Returns a replica. The state of `acceptor` must be on `disk` or queued for it.
    pub fn new(acceptor: Acceptor, disk: Disk) -> Replica {
        Replica { acceptor: Mutex::new(acceptor), disk }
    }

    /// Handles a request and calls `respond` once all state that the response depends on is on disk.
    pub fn handle(&self, request: ConsensusRequest, respond: impl FnOnce(ConsensusResponse) + Send + 'static) {
        let mut acceptor = self.acceptor.lock();
        let (response, records) = acceptor.handle(request);
        // Queued under the lock, so that records are on disk in the order of the responses.
        self.disk.then(records, move || respond(response));
    }

    /// Returns the newest core membership that the acceptor knows.
    pub fn membership(&self) -> CoreMembership {
        self.acceptor.lock().membership.clone()
    }

    /// Returns whether the acceptor has the state that it needs to vote, whether or not it is a member.
    pub fn may_vote(&self) -> bool {
        self.acceptor.lock().may_vote
    }

    /// Adopts a committed membership if it is newer than the known one.
    pub fn adopt_membership(&self, membership: &CoreMembership) {
        let mut acceptor = self.acceptor.lock();
        let Some(record) = acceptor.adopt_membership(membership) else { return };
        // Queued under the lock, so that no response under the new membership reaches the disk before the membership
        // does.
        self.disk.write(vec![record]);
        drop(acceptor);
        log_event!(CORE_CHANGED, "version" => membership.version, "settled" => membership.stable,
            "members" => membership.members.iter().map(|member| member.ip.as_str()).collect::<Vec<_>>().join(","));
    }

    /// Returns the addresses of the acceptors that this one reads to recover.
    pub fn recovery_peers(&self) -> Vec<String> {
        self.acceptor.lock().recovery_peers()
    }

    /// Returns whether it is enough to have read these acceptors to end recovery.
    pub fn has_enough_reads(&self, read: &[String]) -> bool {
        self.acceptor.lock().has_enough_reads(read)
    }

    /// Restores the acceptor from the registers of the other acceptors of the core of `membership_version` and lets it
    /// vote. Returns `false`, and changes nothing, if another core is known or a newer one is in transit to this
    /// controller.
    pub fn recover(&self, membership_version: u64, reads: Vec<Vec<RegisterState>>) -> bool {
        let mut acceptor = self.acceptor.lock();
        if acceptor.membership.version != membership_version {
            // The reads cover only the quorums of another core.
            return false;
        }
        // `None` means that a newer core is in transit to this controller.
        let Some(records) = acceptor.recover(reads) else { return false };
        self.disk.write(records);
        true
    }

    /// Lets an acceptor that was never a member vote once it becomes one. Returns `false` if another core than that of
    /// `membership_version` is known by now.
    pub fn enable_voting(&self, membership_version: u64) -> bool {
        let mut acceptor = self.acceptor.lock();
        if acceptor.membership.version != membership_version {
            return false;
        }
        acceptor.may_vote = true;
        self.disk.write(vec![LogRecord::VotingEnabled]);
        true
    }
}
