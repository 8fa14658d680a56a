//! What daemons say to one another, and the operator's configuration as a checked value.
mod capability;
pub mod config;
pub mod config_update;
pub mod frame;
pub mod headers;
mod hidden_key;
pub mod link;
pub mod message;
pub mod operator_request;
pub mod quota;
pub mod renewal;
pub mod socket;
mod staleness_limit;
mod version_entry;
pub mod version_rollout;

#[cfg(test)]
mod testing;
