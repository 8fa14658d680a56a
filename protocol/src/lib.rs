//! What daemons say to one another, and the operator's configuration as a checked value.
pub mod capability;
pub mod change;
pub mod config;
pub mod frame;
pub mod headers;
pub mod link;
pub mod message;
pub mod operator_request;
pub mod prefix_lookup;
pub mod quota;
pub mod renewal;
pub mod socket;
pub mod staleness_limit;
pub mod version_rollout;

#[cfg(test)]
mod stored_by_5_tests;
