//! Rollouts: staleness limits for weights, and the stepwise rollout of software versions with canary analysis.

pub mod rollout_analyses;
pub mod sample_relay;
pub mod staleness_limits;
pub mod version_rollouts;
