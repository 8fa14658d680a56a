//! Rollouts: limits on stale weights and staged versions of services.

pub mod staleness_limits;
pub mod version_rollouts;
