//! Simulated rollouts of good and faulty versions on fleets in which engines may also fail for other reasons.
//!
//! Production code selects the version of a request and the engines of a load test ([`router::Rollouts`],
//! [`load_balancing`]), analyses the samples and keeps the schedule ([`versions`]). Requests, engines and the delivery
//! of samples and records, with a fixed delay, are simulated. A trial is one rollout, from its order to its end; the
//! command line and the summary call it a term.

mod fleet;
mod scenario;
mod summary;
mod trial;

pub use scenario::{Ablation, Disturbance, Fleet, Scenario, Version};
pub use summary::{run, standard_scenarios, Summary};
pub use trial::{simulate, TrialOutcome};

#[cfg(test)]
#[path = "../rollout_tests.rs"]
mod tests;
