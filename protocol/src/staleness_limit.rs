//! Staleness limits of model weights, and the weight versions of engines.

use rkyv::{Archive, Deserialize, Serialize};

use crate::register_keys::STALENESS_LIMIT_PREFIX;
use crate::version_entry::EngineWeights;

/// How far behind the trainer's latest weights an engine may be. Committed under the key [`StalenessLimit::key`].
/// Invariants: `version` increases with each change; the floor decreases only by a rollback, which is counted, or by a
/// larger lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StalenessLimit {
    /// The service.
    pub service: String,
    /// The model.
    pub model: String,
    /// Increases with each change of this limit.
    pub version: u64,
    /// The trainer's latest weight version.
    pub latest: u64,
    /// How many versions an engine may be behind.
    pub lag: u64,
    /// Names of the routes that it applies to.
    pub routes: Vec<String>,
    /// Whether the limit was removed and no longer applies.
    pub removed: bool,
    /// Number of times that the trainer rolled back to an earlier version.
    pub rollbacks: u64,
    /// The reason for the last rollback.
    pub reason: String,
}

impl StalenessLimit {
    /// Returns the oldest weight version that requests of these routes may run on.
    pub fn floor(&self) -> u64 {
        if self.removed {
            return 0;
        }
        self.latest.saturating_sub(self.lag)
    }

    /// Returns the key of its register.
    pub fn key(&self) -> String {
        format!("{STALENESS_LIMIT_PREFIX}{}/{}", self.service, self.model)
    }
}

kernel::impl_archive_bytes!(StalenessLimit);

/// The weight versions of a zone's engines. Invariant: `sequence` increases with each change that a poller sees; each
/// poller has its own `term`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WeightVersions {
    /// The zone.
    pub zone: String,
    /// The term of the poller that saw them.
    pub term: u64,
    /// Number of changes that this poller saw.
    pub sequence: u64,
    /// The weight version of each model on each engine.
    pub list: Vec<EngineWeights>,
}
