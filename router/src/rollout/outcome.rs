//! How requests to a version ended, and what that adds to the samples.

use protocol::version_samples::{SampleCounts, SampledInterval};

/// Most event intervals that one message has for an origin; more would not change the estimate.
const MAX_INTERVALS_PER_SAMPLE: usize = 64;

/// How the version that served a request did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOutcome {
    /// The engine began a response that is no failure. It may still be lost. This is told at once, as failures are: those of a
    /// version that has just got more requests would else be known before what speaks for it.
    Answered,
    /// The response is complete.
    Complete {
        /// The mean time between the events of its stream in microseconds, if it had several.
        event_interval_us: Option<u64>,
    },
    /// Its engine answered with a failure.
    Failed,
    /// The response broke off or never came.
    Lost,
}

/// The engine that served a request, as it stood when it responded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedBy {
    /// The hash of its id.
    pub engine_hash: u64,
    /// The index of its zone.
    pub zone: u32,
    /// Requests that it ran.
    pub running: u32,
    /// Its slots.
    pub slots: u32,
    /// Whether it had started a moment ago.
    pub is_cold: bool,
    /// Whether it was filled up on purpose, so that its times say nothing of its version.
    pub is_packed: bool,
}

/// Adds the outcome of one request to the samples of its origin.
pub(super) fn add(counts: &mut SampleCounts, served_by: &ServedBy, outcome: VersionOutcome) {
    match outcome {
        VersionOutcome::Answered => counts.succeeded += 1,
        VersionOutcome::Complete { event_interval_us } => {
            let interval_us = event_interval_us.and_then(|interval_us| u32::try_from(interval_us).ok());
            let has_room = counts.intervals.len() < MAX_INTERVALS_PER_SAMPLE;
            let (running, is_cold) = (served_by.running, served_by.is_cold);
            let sampled = interval_us.map(|interval_us| SampledInterval { running, interval_us, is_cold });
            counts.intervals.extend(sampled.filter(|_| has_room));
        }
        VersionOutcome::Failed => counts.failed += 1,
        VersionOutcome::Lost => counts.lost += 1,
    }
}
