//! The committed state of the process, behind a lock.

use std::collections::BTreeMap;
use std::sync::Arc;

use consensus::next_term;
use parking_lot::Mutex;
use protocol::config::ConfigDocument;
use protocol::message::Position;
use protocol::message::{CoreMembership, Entry, ProposalNumber, StalenessLimit};
use protocol::version_rollout::VersionRollout;

use crate::replication::committed_state::{CommittedState, EvacuationRecord, Learned, RoleState};

/// The committed state, shared by all components. Each method locks the state once. Values that must be consistent with
/// each other are read by a single method, or through [`Self::read`].
#[derive(Default)]
pub struct SharedCommittedState(Mutex<CommittedState>);

impl SharedCommittedState {
    /// Returns the result of `read` on the locked state.
    pub fn read<T>(&self, read: impl FnOnce(&CommittedState) -> T) -> T {
        read(&self.0.lock())
    }

    /// Updates what is derived from the state, such as cached frames, under the lock.
    pub fn update<T>(&self, update: impl FnOnce(&mut CommittedState) -> T) -> T {
        update(&mut self.0.lock())
    }

    /// Applies a committed entry if it is newer than the known one. `parsed` is the configuration in it, if it is
    /// already parsed.
    pub fn learn(&self, key: &str, entry: &Entry, parsed: Option<Arc<ConfigDocument>>) -> Learned {
        self.0.lock().learn(key, entry, parsed)
    }

    /// Records a term that was seen in a proposal number.
    pub fn observe_term(&self, term: u64) {
        let mut state = self.0.lock();
        state.highest_term = state.highest_term.max(term);
    }

    /// Returns a proposal number that was never used before.
    pub fn next_proposal_number(&self, membership: &CoreMembership, replica_id: u64) -> ProposalNumber {
        let mut state = self.0.lock();
        state.highest_term = next_term(state.highest_term, membership);
        ProposalNumber { term: state.highest_term, replica_id }
    }

    /// Records that a read which began at `read_started` found nothing newer at a quorum.
    pub fn confirm(&self, read_started: u64) {
        self.0.lock().confirmed_at = Some(read_started);
    }

    /// Returns when the read began that last confirmed this state at a quorum.
    pub fn confirmed_at(&self) -> Option<u64> {
        self.0.lock().confirmed_at
    }

    /// Returns whether the last confirmation is still valid at `now`.
    pub fn is_confirmed(&self, now: u64) -> bool {
        self.0.lock().is_confirmed(now)
    }

    /// Returns the position of the known entry of a key.
    pub fn position(&self, key: &str) -> Option<Position> {
        self.0.lock().entries.get(key).map(Entry::position)
    }

    /// Returns the known entry of a key, together with the configuration in force.
    pub fn entry_and_config(&self, key: &str) -> (Option<Entry>, Option<Arc<ConfigDocument>>) {
        let state = self.0.lock();
        (state.entries.get(key).cloned(), state.history.current().cloned())
    }

    /// Returns the configuration in force.
    pub fn current_config(&self) -> Option<Arc<ConfigDocument>> {
        self.0.lock().history.current().cloned()
    }

    /// Returns the revision of the known committed configuration, 0 if there is none yet.
    pub fn revision(&self) -> u64 {
        self.0.lock().history.revision()
    }

    /// Returns whether the known committed configuration has any tenants.
    pub fn has_tenants(&self) -> bool {
        self.0.lock().history.has_tenants()
    }

    /// Returns the version of a zone's evacuation, 0 if the zone was never evacuated.
    pub fn evacuation_version(&self, zone: &str) -> u64 {
        self.0.lock().evacuations.get(zone).map_or(0, |evacuation| evacuation.version)
    }

    /// Returns all evacuations by zone.
    pub fn evacuations(&self) -> BTreeMap<String, EvacuationRecord> {
        self.0.lock().evacuations.clone()
    }

    /// Returns the staleness limit of a key, even if it is removed.
    pub fn staleness_limit(&self, key: &str) -> Option<StalenessLimit> {
        self.0.lock().staleness_limits.get(key).cloned()
    }

    /// Returns whether there is any staleness limit, including removed ones.
    pub fn has_staleness_limits(&self) -> bool {
        !self.0.lock().staleness_limits.is_empty()
    }

    /// Returns the newest rollout of a service.
    pub fn version_rollout(&self, service: &str) -> Option<VersionRollout> {
        self.0.lock().version_rollouts.get(service).cloned()
    }

    /// Returns the version that gets a service's requests, or `None` if it is not known.
    pub fn version_in_force(&self, service: &str) -> Option<String> {
        self.0.lock().version_in_force(service).map(str::to_string)
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
