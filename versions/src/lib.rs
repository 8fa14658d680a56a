//! Judging a new version of a service from samples that many routers pool, and the schedule of bringing it in. Pure: time
//! comes in with every call. `docs/version-rollouts.md` weighs this against other ways.
#![warn(missing_docs)]

mod canary_analysis;
mod rollout_schedule;

pub use canary_analysis::{CanaryAnalysis, IntervalHistogram, SampleBatch, Variant, Verdict};
pub use rollout_schedule::{RolloutSchedule, RolloutStep, CANARY_SHARE, FULL_SHARE};
