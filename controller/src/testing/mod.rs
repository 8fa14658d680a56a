//! Test support; no part of the daemon.

pub mod engines;
pub mod http_server;
mod simulation;
