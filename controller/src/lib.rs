//! The control plane: stores control state by consensus, discovers engines, delivers updates to routers, and carries
//! out singleton roles. `docs/architecture.md` shows how the modules depend on each other.

#![deny(missing_docs)]

mod api;
mod balancing;
mod batches;
mod config;
mod controller;
mod delivery;
mod discovery;
mod event;
mod http_client;
mod metering;
mod metrics;
mod peers;
mod prefix_catalog;
mod quota_shards;
mod replication;
mod roles;
mod rollout;
mod shutdown;
pub mod startup;
mod tallies;
#[cfg(test)]
mod testing;
