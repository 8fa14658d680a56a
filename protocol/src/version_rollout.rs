//! Rollouts of service versions: their committed state, and the samples that routers report. Since version 5.

use rkyv::{Archive, Deserialize, Serialize};

use crate::hidden_key::HiddenKey;

pub use crate::register_keys::VERSION_ROLLOUT_PREFIX as KEY_PREFIX;

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version gets a share of the requests, or all requests are moving to it.
    Active,
    /// All requests have moved to the new version.
    Complete,
    /// The old version stays in use.
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

/// The latest rollout of a service. Invariants: `number` increases with each change; a rollout that has ended stays
/// ended; `order` increases with each new rollout.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct VersionRollout {
    /// The service.
    pub service: String,
    /// Increases with each change of this record.
    pub number: u64,
    /// Increases with each rollout that an operator starts.
    pub order: u64,
    /// The version that is being rolled out.
    pub target: String,
    /// Time limit for its completion or reversion, in milliseconds.
    pub duration_ms: u64,
    /// Its state.
    pub state: RolloutState,
    /// Share of the service's requests that the new version gets, in thousandths.
    pub share: u32,
    /// Time from its start to the writing of this record, in milliseconds.
    pub elapsed_ms: u64,
    /// The target of the last completed rollout.
    pub stable: Option<String>,
    /// Versions that were reverted; they get no requests.
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

    /// Returns the version that serves every request outside the rollout's share, or `None` if this record does not tell:
    /// a service's first rollout names no stable version until it is complete.
    pub fn stable_version(&self) -> Option<&str> {
        match self.state {
            RolloutState::Complete => Some(&self.target),
            RolloutState::Active | RolloutState::Reverted => self.stable.as_deref(),
        }
    }

    /// Returns whether a version was ordered and is not complete: it is never the stable version by itself.
    pub fn is_unproved(&self, version: &str) -> bool {
        let is_target = version == self.target && self.state != RolloutState::Complete;
        is_target || self.reverted.iter().any(|reverted| reverted == version)
    }

    /// Returns whether engines of a version may get the rollout's share of the requests.
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
    /// Whether they are of the new version; otherwise of the old one.
    pub is_candidate: bool,
    /// Requests that succeeded.
    pub good: u64,
    /// Requests that the engine failed.
    pub failed: u64,
    /// Mean times between the events of a response, in microseconds, each with the number of such responses.
    pub paces: Vec<(u64, u64)>,
}

/// Routers' samples of a rollout since their last report.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Samples {
    /// The service.
    pub service: String,
    /// The `order` of the rollout that they belong to.
    pub order: u64,
    /// The samples by route and version.
    pub list: Vec<RouteSamples>,
    /// Whether a controller has already relayed them.
    pub is_relayed: bool,
}

/// Returns the list name of a zone's candidates: its engines that run a version being rolled out.
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
