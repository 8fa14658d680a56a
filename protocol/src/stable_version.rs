//! The version that a service runs: a committed record beside those of its rollouts.
//!
//! Before a service's first rollout, and after its engines were replaced without one, no rollout names the version that
//! may get requests. This record does, so that no controller has to guess it from the engines that it sees.

use rkyv::{Archive, Deserialize, Serialize};

use crate::version_rollout::{RolloutState, VersionRollout};

pub use crate::register_keys::STABLE_VERSION_PREFIX as KEY_PREFIX;

/// The version of a service as it was recorded without a rollout.
///
/// Invariant: `number` increases with each change. Rollouts that the writer did not know supersede the record.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StableVersion {
    /// The service.
    pub service: String,
    /// Increases with each change of this record.
    pub number: u64,
    /// The version that gets the service's requests.
    pub version: String,
    /// The `order` of the newest rollout that was known when this was written; 0 if there was none.
    pub rollout_order: u64,
    /// The `number` of that rollout's record; 0 if there was none.
    pub rollout_number: u64,
}

impl StableVersion {
    /// Returns the record that follows `previous` and names `version`, written with the knowledge of `rollout`.
    pub fn following(
        previous: Option<&StableVersion>,
        service: &str,
        version: &str,
        rollout: Option<&VersionRollout>,
    ) -> StableVersion {
        StableVersion {
            service: service.into(),
            number: previous.map_or(0, |previous| previous.number) + 1,
            version: version.into(),
            rollout_order: rollout.map_or(0, |rollout| rollout.order),
            rollout_number: rollout.map_or(0, |rollout| rollout.number),
        }
    }

    /// Returns the key of the register of a service's version.
    pub fn key(service: &str) -> String {
        format!("{KEY_PREFIX}{service}")
    }

    /// Returns whether this was written after the rollout had named a stable version: at its completion, or else at its
    /// start.
    fn is_newer_than(&self, rollout: &VersionRollout) -> bool {
        match rollout.state {
            RolloutState::Complete => self.rollout_number >= rollout.number,
            RolloutState::Active | RolloutState::Reverted => self.rollout_order >= rollout.order,
        }
    }
}

kernel::impl_archive_bytes!(StableVersion);

/// Returns the version that gets a service's requests, whatever the share of a rollout, or `None` if neither its record
/// nor its newest rollout tells.
pub fn version_in_force<'a>(record: Option<&'a StableVersion>, rollout: Option<&'a VersionRollout>) -> Option<&'a str> {
    let recorded = record.map(|record| record.version.as_str());
    let is_recorded_later = |rollout: &VersionRollout| record.is_some_and(|record| record.is_newer_than(rollout));
    match rollout {
        Some(rollout) if !is_recorded_later(rollout) => rollout.stable_version().or(recorded),
        _ => recorded,
    }
}

#[cfg(test)]
#[path = "stable_version_tests.rs"]
mod tests;
