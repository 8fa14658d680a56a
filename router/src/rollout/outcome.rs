//! Outcomes of requests to a version, and how they are added to the samples.

use protocol::version_samples::{SampleCounts, SampledInterval};

/// Maximum number of event intervals per sample key in a message; more would not change the estimate.
const MAX_INTERVALS_PER_SAMPLE: usize = 64;

/// The outcome of a request for the version that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOutcome {
    /// The engine started a successful response, which may still be lost. Reported at once, like failures: otherwise
    /// the failures of a version that has just got more requests would be known before its successes.
    Answered,
    /// The response is complete.
    Complete {
        /// The mean interval between the events of the stream in microseconds, if it had several.
        event_interval_us: Option<u64>,
    },
    /// The engine responded with a failure.
    Failed,
    /// The response was cut off or never arrived.
    Lost,
}

/// The engine that served a request, and its state when it responded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedBy {
    /// The hash of the engine's id.
    pub engine_hash: u64,
    /// The index of the engine's zone.
    pub zone: u32,
    /// The number of requests running on it.
    pub running: u32,
    /// The number of its slots.
    pub slots: u32,
    /// Whether it was still warming up after its start.
    pub is_cold: bool,
    /// Whether a load test packed it on purpose, so that its latencies say nothing about its version.
    pub is_packed: bool,
}

/// Adds the outcome of a request to the counts of its sample key.
pub(super) fn add(counts: &mut SampleCounts, served_by: &ServedBy, outcome: VersionOutcome) {
    match outcome {
        VersionOutcome::Answered => counts.succeeded += 1,
        VersionOutcome::Complete { event_interval_us } => {
            let interval_us = event_interval_us.and_then(|interval_us| u32::try_from(interval_us).ok());
            let has_room = counts.intervals.len() < MAX_INTERVALS_PER_SAMPLE;
            let (running, is_cold) = (served_by.running, served_by.is_cold);
            let sampled_interval = interval_us.map(|interval_us| SampledInterval { running, interval_us, is_cold });
            counts.intervals.extend(sampled_interval.filter(|_| has_room));
        }
        VersionOutcome::Failed => counts.failed += 1,
        VersionOutcome::Lost => counts.lost += 1,
    }
}
