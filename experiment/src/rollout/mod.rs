//! Rollouts of good and faulty versions, beside engines that fail by themselves.
//!
//! Real are the choice of a version and of a load test's engines ([`router::Rollouts`], [`load_balancing`]), the analysis of the
//! samples and the schedule ([`versions`]). Simulated are requests, engines, and the way of samples and records, which take a
//! fixed time. A term is one rollout, from the order to its end.

mod fleet;
mod scenario;
mod summary;
mod term;

pub use scenario::{Ablation, Disturbance, Fleet, Scenario, Version};
pub use summary::{run, standard_scenarios, Summary};
pub use term::{simulate, TermOutcome};

#[cfg(test)]
#[path = "../rollout_tests.rs"]
mod tests;
