//! Bringing in a new version of a service: what is committed of it, and what routers see of it. Since version 5.

use crate::message;

/// The keys of rollouts in the ledger.
pub const KEY: &str = "versions/";

/// Where a rollout stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum RolloutState {
    /// The new version is tried, or all moves to it.
    Active,
    /// All has moved; the old version is no more.
    Complete,
    /// The old version stays.
    Reverted,
}

impl RolloutState {
    /// Its word in the protocol.
    pub fn word(self) -> &'static str {
        match self {
            RolloutState::Active => "active",
            RolloutState::Complete => "complete",
            RolloutState::Reverted => "reverted",
        }
    }
}

/// The newest rollout of a service. Invariants: `number` rises with each change; a rollout that has ended stays so; `order`
/// rises with each new one.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct VersionRollout {
    /// The service.
    pub service: String,
    /// Rises with each change of this record.
    pub number: u64,
    /// Rises with each order of an operator.
    pub order: u64,
    /// The version that is brought in.
    pub target: String,
    /// By then it is to be complete or reverted.
    pub duration_ms: u64,
    /// Where it stands.
    pub state: RolloutState,
    /// Thousandths of the service's requests that the new version gets.
    pub share: u32,
    /// Time since the order, when this record was written.
    pub elapsed_ms: u64,
    /// The version that the last complete rollout brought in.
    pub stable: Option<String>,
    /// Versions that were reverted: nothing goes to them.
    pub reverted: Vec<String>,
    /// Why it was reverted.
    pub reason: String,
}

impl VersionRollout {
    /// The key of a service's rollout.
    pub fn key(service: &str) -> String {
        format!("{KEY}{service}")
    }

    /// May engines of a version get all of the service's requests?
    pub fn is_stable(&self, version: &str) -> bool {
        let is_target = version == self.target;
        match (self.state, &self.stable) {
            (RolloutState::Complete, _) => is_target,
            (_, Some(stable)) => version == stable,
            (_, None) => !is_target && !self.reverted.iter().any(|reverted| reverted == version),
        }
    }

    /// May engines of a version get the part of the requests that the rollout gives them?
    pub fn is_candidate(&self, version: &str) -> bool {
        self.state == RolloutState::Active && version == self.target
    }
}

kernel::impl_archive_bytes!(VersionRollout);

/// Samples of one route and version.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct RouteSamples {
    /// The route's name.
    pub route: String,
    /// Of the new version, or else of the old one.
    pub is_candidate: bool,
    /// Requests that ended as they should.
    pub good: u64,
    /// Requests whose engine failed them.
    pub failed: u64,
    /// Mean times between events of an answer in microseconds, and how many answers had them.
    pub paces: Vec<(u64, u64)>,
}

/// What routers saw of a rollout since they last told.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Samples {
    /// The service.
    pub service: String,
    /// The order that they belong to.
    pub order: u64,
    /// By route and version.
    pub list: Vec<RouteSamples>,
    /// Passed on by a controller already.
    pub is_relayed: bool,
}

/// Under the zone of this name the engines of versions that are brought in are listed, apart from the others.
const CANDIDATES: &str = "candidates ";

/// The name under which a zone's engines of versions that are brought in are listed.
pub fn candidates_of(zone: &str) -> String {
    message::hidden_key(&format!("{CANDIDATES}{zone}"))
}

/// The zone whose candidates are listed under a name. None: it is a zone's own name.
pub fn candidate_zone(name: &str) -> Option<&str> {
    name.strip_prefix('\0')?.strip_prefix(CANDIDATES)
}

#[cfg(test)]
#[path = "version_rollout_tests.rs"]
mod tests;
