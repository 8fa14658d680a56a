//! Staged rollouts of a service's versions: canary analysis of the pooled samples of all routers, and the schedule of
//! the share of requests that the new version gets.
//!
//! The crate does no I/O and reads no clock: callers pass the time. `docs/version-rollouts.md` compares this with other
//! designs.
#![deny(missing_docs)]

mod baseline;
mod canary_analysis;
mod candidate_outcomes;
mod engine_mixture;
mod fault_evidence;
mod load_evidence;
mod load_model;
mod outcome_history;
mod rollout_schedule;
mod sample;
mod speed_evidence;
mod zone_outcomes;

pub use canary_analysis::{CanaryAnalysis, Verdict};
pub use rollout_schedule::{RolloutSchedule, RolloutStage, RolloutStep, FULL_SHARE, MAX_CANARY_SHARE};
pub use sample::{EventInterval, LoadClass, SampleBatch, SampleOrigin, Variant, LOADED_SLOT_SHARE};
