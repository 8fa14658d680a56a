//! The data plane: takes clients' requests and forwards them to engines.
//!
//! `frontend` accepts and authorizes requests, `limits` enforces tenants' rate limits, `proxy` forwards, and `upstream`
//! keeps connections to engines and finds out which do not respond. `subscription` gets configuration and engines from
//! controllers; `config` holds what is in force, `kv` asks the catalog which engines own a prompt's KV cache, and
//! `rollout` splits traffic between versions. All of them share one `state`.

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
