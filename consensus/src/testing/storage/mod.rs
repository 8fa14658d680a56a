//! Tests of the store on a simulated disk.

mod simulated_directory;
mod simulated_disk;
mod workload;

#[path = "workload_tests.rs"]
mod workload_tests;
