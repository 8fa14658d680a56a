//! How the keys of committed registers begin that daemons also name by hidden keys. The texts are stored on disk.

/// How the keys of staleness limits begin.
pub const STALENESS_LIMIT_PREFIX: &str = "rollout/";

/// How the keys of rollouts of versions begin.
pub const VERSION_ROLLOUT_PREFIX: &str = "versions/";
