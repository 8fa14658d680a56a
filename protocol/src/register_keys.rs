//! Key prefixes of the committed registers that daemons also name by hidden keys. The texts are stored on disk.

/// Key prefix of staleness limits.
pub const STALENESS_LIMIT_PREFIX: &str = "rollout/";

/// Key prefix of the versions that services run.
pub const STABLE_VERSION_PREFIX: &str = "stable/";

/// Key prefix of version rollouts.
pub const VERSION_ROLLOUT_PREFIX: &str = "versions/";
