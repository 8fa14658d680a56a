//! A simulation of a fleet that runs a batch alongside interactive requests, for tests and for `tidepoint rehearse`.

mod plan;
mod simulation;

pub use plan::{reference_plan, SimulationPlan, SimulationReport};
pub use simulation::simulate;

#[cfg(test)]
mod simulation_tests;
