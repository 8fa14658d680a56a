//! Test support; no part of the daemon.

mod simulation;
