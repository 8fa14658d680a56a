//! What daemons say to one another, and the operator's configuration as a checked value.
pub mod capability;
pub mod change;
pub mod config;
pub mod frame;
pub mod link;
pub mod msg;
pub mod order;
pub mod quota;
pub mod renewal;
pub mod rollout;
pub mod seek;
pub mod sock;
pub mod version_rollout;
pub mod word;
