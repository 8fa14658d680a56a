//! Test support; no part of the daemon.

pub mod http_server;
mod simulation;
