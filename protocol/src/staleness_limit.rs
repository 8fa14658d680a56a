//! The limit on stale weights, and the versions that engines have.

/// How far behind the trainer's latest weights a replica may fall. Invariants: `version` rises with each
/// change; the floor goes back only by a rollback, which is counted, or by a wider lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct StalenessLimit {
    pub service: String,
    pub model: String,
    pub version: u64,
    pub latest: u64,
    pub lag: u64,
    /// Names of the routes that it binds.
    pub routes: Vec<String>,
    pub removed: bool,
    pub rollbacks: u64,
    /// Why the last rollback was made.
    pub reason: String,
}

impl StalenessLimit {
    /// The oldest version that bound work may run on.
    pub fn floor(&self) -> u64 {
        if self.removed {
            return 0;
        }
        self.latest.saturating_sub(self.lag)
    }

    /// Its key in the ledger.
    pub fn key(&self) -> String {
        format!("{ROLLOUT}{}/{}", self.service, self.model)
    }
}

kernel::impl_archive_bytes!(StalenessLimit);

pub const ROLLOUT: &str = "rollout/";

/// Invariant: `count` rises with each change that one poller sees; another poller has another `turn`.
#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct WeightVersions {
    pub zone: String,
    pub term: u64,
    pub sequence: u64,
    /// Engine, model, version.
    pub list: Vec<(String, String, u64)>,
}
