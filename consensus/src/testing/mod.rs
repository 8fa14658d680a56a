//! Simulations, simulated devices and the model checker, for tests only.

mod model;
mod simulation;
mod storage;

#[path = "unit/stored_by_5_tests.rs"]
mod stored_by_5_tests;
