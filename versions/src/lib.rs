//! Staged rollouts of a service's versions: a canary analysis of samples that all routers pool, and the schedule by which the
//! new version gets its share of the requests.
//!
//! The crate does no I/O and reads no clock: time comes in with every call. `docs/version-rollouts.md` compares this with other
//! designs.
#![deny(missing_docs)]

mod canary_analysis;
mod failure_evidence;
mod recent_intervals;
mod rollout_schedule;
mod sample;

pub use canary_analysis::{CanaryAnalysis, Verdict};
pub use rollout_schedule::{RolloutSchedule, RolloutStep, CANARY_SHARE, FULL_SHARE};
pub use sample::{SampleBatch, Variant};
