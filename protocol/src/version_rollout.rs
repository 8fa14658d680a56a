//! Rollouts of versions of services: their committed state, and the samples that routers report. Since version 5.

use rkyv::{Archive, Deserialize, Serialize};

use crate::hidden_key::HiddenKey;

pub use crate::register_keys::VERSION_ROLLOUT_PREFIX as KEY_PREFIX;

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version gets a share of the requests, or all of them move to it.
    Active,
    /// All requests have moved to the new version.
    Complete,
    /// The old version stays.
    Reverted,
}

impl RolloutState {
    /// Returns its name in the published protocol.
    pub fn as_str(self) -> &'static str {
        match self {
            RolloutState::Active => "active",
            RolloutState::Complete => "complete",
            RolloutState::Reverted => "reverted",
        }
    }
}

/// The newest rollout of a service. Invariants: `number` rises with each change; a rollout that has ended stays so; `order` rises
/// with each new one.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct VersionRollout {
    /// The service.
    pub service: String,
    /// Rises with each change of this record.
    pub number: u64,
    /// Rises with each rollout that an operator starts.
    pub order: u64,
    /// The version that is rolled out.
    pub target: String,
    /// Milliseconds within which it is to be complete or reverted.
    pub duration_ms: u64,
    /// Its state.
    pub state: RolloutState,
    /// Thousandths of the service's requests that the new version gets.
    pub share: u32,
    /// Milliseconds from its start to when this record was written.
    pub elapsed_ms: u64,
    /// The version that the last complete rollout brought in.
    pub stable: Option<String>,
    /// Versions that were reverted: nothing goes to them.
    pub reverted: Vec<String>,
    /// Why it was reverted.
    pub reason: String,
}

impl VersionRollout {
    /// Returns the first record of a service's first rollout.
    pub fn first(service: &str, target: &str, duration_ms: u64) -> VersionRollout {
        VersionRollout {
            service: service.into(),
            number: 1,
            order: 1,
            target: target.into(),
            duration_ms,
            state: RolloutState::Active,
            share: 0,
            elapsed_ms: 0,
            stable: None,
            reverted: Vec::new(),
            reason: String::new(),
        }
    }

    /// Returns the key of the register of a service's rollout.
    pub fn key(service: &str) -> String {
        format!("{KEY_PREFIX}{service}")
    }

    /// Returns whether engines of a version may get any of the service's requests.
    pub fn is_stable(&self, version: &str) -> bool {
        let is_target = version == self.target;
        match (self.state, &self.stable) {
            (RolloutState::Complete, _) => is_target,
            (_, Some(stable)) => version == stable,
            (_, None) => !is_target && !self.reverted.iter().any(|reverted| reverted == version),
        }
    }

    /// Returns whether engines of a version may get the share of the requests that the rollout gives them.
    pub fn is_candidate(&self, version: &str) -> bool {
        self.state == RolloutState::Active && version == self.target
    }
}

kernel::impl_archive_bytes!(VersionRollout);

/// Samples of one route and version.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouteSamples {
    /// The route's name.
    pub route: String,
    /// Of the new version, or else of the old one.
    pub is_candidate: bool,
    /// Requests that succeeded.
    pub good: u64,
    /// Requests whose engine failed them.
    pub failed: u64,
    /// Mean times between events of a response in microseconds, and how many responses had them.
    pub paces: Vec<(u64, u64)>,
}

/// What routers saw of a rollout since their last report.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Samples {
    /// The service.
    pub service: String,
    /// The `order` of the rollout that they belong to.
    pub order: u64,
    /// By route and version.
    pub list: Vec<RouteSamples>,
    /// Whether a controller has passed them on already.
    pub is_relayed: bool,
}

/// Returns the name under which a zone's engines of versions that are being rolled out are listed.
pub fn candidates_of(zone: &str) -> String {
    HiddenKey::Candidates(zone).into()
}

/// Returns the zone whose candidates are listed under a name, or `None` for any other name.
pub fn candidate_zone(name: &str) -> Option<&str> {
    match HiddenKey::parse(name) {
        Some(HiddenKey::Candidates(zone)) => Some(zone),
        _ => None,
    }
}

#[cfg(test)]
#[path = "version_rollout_tests.rs"]
mod tests;
