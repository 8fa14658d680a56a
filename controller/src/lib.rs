//! The control plane: knows which engines and daemons exist, holds and delivers the configuration.

mod api;
mod balancing;
mod batches;
mod config;
mod controller;
mod delivery;
mod discovery;
mod event;
mod http_client;
mod metrics;
mod peers;
mod prefix_catalog;
mod quota_shards;
mod replication;
mod roles;
mod rollout;
mod shutdown;
pub mod startup;
#[cfg(test)]
mod testing;
