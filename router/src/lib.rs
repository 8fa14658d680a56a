//! The data plane: takes clients' requests and carries them to engines.

mod config;
mod event;
mod frontend;
mod kv;
mod limits;
mod metrics;
mod proxy;
mod rollout;
pub mod startup;
mod state;
mod subscription;
mod upstream;

#[cfg(test)]
mod testing;
#[cfg(test)]
mod tests;
