//! Test support: a simulation of replicas in virtual time with network partitions, power failures and lost disks.

mod simulation;
mod simulation_tests;
