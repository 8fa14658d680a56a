//! The committed state of the process behind its lock.

use std::collections::BTreeMap;
use std::sync::Arc;

use consensus::next_term;
use parking_lot::Mutex;
use protocol::config::ConfigDocument;
use protocol::message::Position;
use protocol::message::{CoreMembership, Entry, ProposalNumber, StalenessLimit};
use protocol::version_rollout::VersionRollout;

use crate::replication::committed_state::{CommittedState, EvacuationRecord, Learned, RoleState};

/// What is known to be committed, shared by all parts of the process. Every method is one moment under the lock; what
/// must be of one moment is read by one of them, or by `read`.
#[derive(Default)]
pub struct SharedCommittedState(Mutex<CommittedState>);

impl SharedCommittedState {
    /// Returns what `read` makes of the state of one moment.
    pub fn read<T>(&self, read: impl FnOnce(&CommittedState) -> T) -> T {
        read(&self.0.lock())
    }

    /// Changes what is derived from the state, such as cached frames, under the lock.
    pub fn update<T>(&self, update: impl FnOnce(&mut CommittedState) -> T) -> T {
        update(&mut self.0.lock())
    }

    /// Takes an entry that is committed. `read` is the configuration in it where that was read already.
    pub fn learn(&self, key: &str, entry: &Entry, read: Option<Arc<ConfigDocument>>) -> Learned {
        self.0.lock().learn(key, entry, read)
    }

    /// Notes a term that was seen in a proposal number.
    pub fn observe_term(&self, term: u64) {
        let mut state = self.0.lock();
        state.highest_term = state.highest_term.max(term);
    }

    /// Returns a proposal number that no one used before.
    pub fn next_proposal_number(&self, membership: &CoreMembership, replica_id: u64) -> ProposalNumber {
        let mut state = self.0.lock();
        state.highest_term = next_term(state.highest_term, membership);
        ProposalNumber { term: state.highest_term, replica_id }
    }

    /// Notes that a read which began at `begun` found nothing newer at a quorum.
    pub fn confirm(&self, begun: u64) {
        self.0.lock().confirmed_at = Some(begun);
    }

    /// Returns when the read began that last confirmed this state at a quorum.
    pub fn confirmed_at(&self) -> Option<u64> {
        self.0.lock().confirmed_at
    }

    /// Returns whether the last confirmation still counts.
    pub fn is_confirmed(&self, now: u64) -> bool {
        self.0.lock().is_confirmed(now)
    }

    /// Returns the position of the entry that is known of a key.
    pub fn position(&self, key: &str) -> Option<Position> {
        self.0.lock().entries.get(key).map(Entry::position)
    }

    /// Returns the entry that is known of a key, and the configuration in force at the same moment.
    pub fn entry_and_config(&self, key: &str) -> (Option<Entry>, Option<Arc<ConfigDocument>>) {
        let state = self.0.lock();
        (state.entries.get(key).cloned(), state.history.current().cloned())
    }

    /// Returns the configuration in force.
    pub fn current_config(&self) -> Option<Arc<ConfigDocument>> {
        self.0.lock().history.current().cloned()
    }

    /// Returns the revision of the configuration known to be committed, 0 where there is none yet.
    pub fn revision(&self) -> u64 {
        self.0.lock().history.revision()
    }

    /// Returns whether the configuration known to be committed has any tenants.
    pub fn has_tenants(&self) -> bool {
        self.0.lock().history.has_tenants()
    }

    /// Returns the version of a zone's evacuation, 0 where it never was one.
    pub fn evacuation_version(&self, zone: &str) -> u64 {
        self.0.lock().evacuations.get(zone).map_or(0, |evacuation| evacuation.version)
    }

    /// Returns all evacuations by zone.
    pub fn evacuations(&self) -> BTreeMap<String, EvacuationRecord> {
        self.0.lock().evacuations.clone()
    }

    /// Returns the limit on stale weights of a key, also a removed one.
    pub fn staleness_limit(&self, key: &str) -> Option<StalenessLimit> {
        self.0.lock().staleness_limits.get(key).cloned()
    }

    /// Returns whether there is any limit on stale weights, a removed one included.
    pub fn has_staleness_limits(&self) -> bool {
        !self.0.lock().staleness_limits.is_empty()
    }

    /// Returns the newest rollout of a service.
    pub fn version_rollout(&self, service: &str) -> Option<VersionRollout> {
        self.0.lock().version_rollouts.get(service).cloned()
    }

    /// Returns the newest rollout of each service.
    pub fn version_rollouts(&self) -> BTreeMap<String, VersionRollout> {
        self.0.lock().version_rollouts.clone()
    }

    /// Returns the state of a singleton role by its key.
    pub fn role(&self, key: &str) -> Option<RoleState> {
        self.0.lock().roles.get(key).cloned()
    }

    /// Returns the owner of a singleton role by its key.
    pub fn role_owner(&self, key: &str) -> Option<String> {
        self.0.lock().roles.get(key).map(|role| role.owner.clone())
    }

    /// Returns the states of all singleton roles by key.
    pub fn roles(&self) -> BTreeMap<String, RoleState> {
        self.0.lock().roles.clone()
    }
}
