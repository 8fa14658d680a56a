//! This controller's acceptor and its disk: every request is handled and handed to the disk under one lock.

use consensus::Acceptor;
use consensus::LogRecord;
use kernel::log_event;
use parking_lot::Mutex;
use protocol::message::{ConsensusRequest, ConsensusResponse, CoreMembership, RegisterState};

use crate::event::CORE_CHANGED;
use crate::replication::disk::Disk;

/// The acceptor of this process and the disk behind it.
///
/// Invariant: the order of records on disk is the order of the acceptor's responses, since the disk gets the records of a
/// request before the lock is released.
pub struct Replica {
    acceptor: Mutex<Acceptor>,
    disk: Disk,
}

impl Replica {
    /// Returns a replica whose `disk` already holds, or is about to hold, all that `acceptor` says.
    pub fn new(acceptor: Acceptor, disk: Disk) -> Replica {
        Replica { acceptor: Mutex::new(acceptor), disk }
    }

    /// Handles a request and calls `respond` once all that the response rests on is on disk.
    pub fn handle(&self, request: ConsensusRequest, respond: impl FnOnce(ConsensusResponse) + Send + 'static) {
        let mut acceptor = self.acceptor.lock();
        let (response, records) = acceptor.handle(request);
        // Still under the lock: the order on disk is the order of the responses.
        self.disk.then(records, move || respond(response));
    }

    /// Returns the newest core membership known to the acceptor.
    pub fn membership(&self) -> CoreMembership {
        self.acceptor.lock().membership.clone()
    }

    /// Returns whether the acceptor has all that it needs to vote, be it a member or not.
    pub fn may_vote(&self) -> bool {
        self.acceptor.lock().may_vote
    }

    /// Takes over a committed membership if it is newer than the one known.
    pub fn adopt_membership(&self, membership: &CoreMembership) {
        let mut acceptor = self.acceptor.lock();
        let Some(record) = acceptor.adopt_membership(membership) else { return };
        // Still under the lock: no response under the new membership reaches the disk before the membership does.
        self.disk.write(vec![record]);
        drop(acceptor);
        log_event!(CORE_CHANGED, "version" => membership.version, "settled" => membership.stable,
            "members" => membership.members.iter().map(|member| member.ip.as_str()).collect::<Vec<_>>().join(","));
    }

    /// Returns the acceptors that one without memory has to read.
    pub fn recovery_peers(&self) -> Vec<String> {
        self.acceptor.lock().recovery_peers()
    }

    /// Returns whether reading these acceptors is enough to end a loss of memory.
    pub fn has_enough_reads(&self, read: &[String]) -> bool {
        self.acceptor.lock().has_enough_reads(read)
    }

    /// Takes over what the other acceptors of the core of `membership_version` hold, and may vote from then on. Returns
    /// false, and changes nothing, where another core is current or on its way here.
    pub fn recover(&self, membership_version: u64, reads: Vec<Vec<RegisterState>>) -> bool {
        let mut acceptor = self.acceptor.lock();
        if acceptor.membership.version != membership_version {
            // What was read answers for the quorums of another core.
            return false;
        }
        // Otherwise a newer core is on its way here.
        let Some(records) = acceptor.recover(reads) else { return false };
        self.disk.write(records);
        true
    }

    /// Lets an acceptor that was never a member vote once it is made one. Returns false where another core than that of
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
