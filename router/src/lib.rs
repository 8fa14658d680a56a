//! The data plane: accepts client requests and forwards them to engines.
//!
//! `frontend` accepts and authorizes requests, `limits` enforces the rate limits of tenants, `proxy` forwards requests,
//! and `upstream` pools connections to engines and detects unresponsive ones. `subscription` receives configuration and
//! endpoint lists from controllers, `config` holds the configuration in force, `kv` asks the catalog which engines own
//! the KV cache of a prompt, and `rollout` splits traffic between versions. `metering` reports request counts by tenant
//! to controllers. All modules share one `state`.

#![deny(missing_docs)]

mod config;
mod event;
mod frontend;
mod kv;
mod limits;
mod metering;
mod metrics;
mod proxy;
mod rollout;
pub mod startup;
mod state;
mod subscription;
mod upstream;

pub use rollout::{RequestProfile, Rollouts};

#[cfg(test)]
mod testing;
#[cfg(test)]
mod tests;
