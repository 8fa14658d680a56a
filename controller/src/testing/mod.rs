//! Test support: nothing of it is part of the daemon.

mod simulation;
