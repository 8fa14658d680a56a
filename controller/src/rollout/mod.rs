//! Rollouts: limits on stale weights, and analysis of versions that are brought in step by step.

pub mod rollout_analyses;
pub mod sample_relay;
pub mod staleness_limits;
pub mod version_rollouts;
