//! Test support: replicas in virtual time, over links that are cut and disks that are lost.

mod simulation;
mod simulation_tests;
