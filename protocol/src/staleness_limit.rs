//! Limits on stale weights, and the versions of weights that engines have.

use rkyv::{Archive, Deserialize, Serialize};

use crate::register_keys::STALENESS_LIMIT_PREFIX;
use crate::version_entry::EngineWeights;

/// How far behind the trainer's latest weights an engine may be. Committed under the key [`StalenessLimit::key`]. Invariants: `version` rises with each
/// change; the floor goes back only by a rollback, which is counted, or by a wider lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StalenessLimit {
    /// The service.
    pub service: String,
    /// The model.
    pub model: String,
    /// Rises with each change of this limit.
    pub version: u64,
    /// The trainer's latest version of the weights.
    pub latest: u64,
    /// How many versions an engine may be behind.
    pub lag: u64,
    /// Names of the routes that it binds.
    pub routes: Vec<String>,
    /// Whether the limit was removed: it binds nothing then.
    pub removed: bool,
    /// How often the trainer went back to an earlier version.
    pub rollbacks: u64,
    /// Why the last rollback was made.
    pub reason: String,
}

impl StalenessLimit {
    /// Returns the oldest version of the weights that bound requests may run on.
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

/// The weight versions of a zone's engines. Invariant: `sequence` rises with each change that one poller sees; another
/// poller has another `term`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WeightVersions {
    /// The zone.
    pub zone: String,
    /// The poller that saw them.
    pub term: u64,
    /// Counts the changes that this poller saw.
    pub sequence: u64,
    /// The version of each model on each engine.
    pub list: Vec<EngineWeights>,
}
