//! The outcome of one attempt at a job, and the job's state after it.

use crate::JobState;

/// Attempts with an unknown outcome after which a repeatable job is given up.
pub const MAX_ATTEMPTS: u32 = 6;

/// The outcome of a request that was sent once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A router gave the engine's response.
    Completed {
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        body: String,
    },
    /// The request was not executed and never will be.
    NotExecuted {
        /// Milliseconds after which to try again, where the response said so.
        retry_after_ms: Option<u64>,
    },
    /// The request may have been executed.
    Unknown,
}

/// Returns a job's state after an attempt. `unknown_count` is the number of its attempts with an unknown outcome, this one
/// included.
pub fn state_after(outcome: AttemptOutcome, repeatable: bool, unknown_count: u32) -> JobState {
    match outcome {
        AttemptOutcome::Completed { status, body } => JobState::Completed { status, body },
        AttemptOutcome::NotExecuted { .. } => JobState::Waiting,
        AttemptOutcome::Unknown if !repeatable => JobState::OutcomeUnknown,
        AttemptOutcome::Unknown if unknown_count >= MAX_ATTEMPTS => JobState::DeadlineMissed,
        AttemptOutcome::Unknown => JobState::Waiting,
    }
}

#[cfg(test)]
#[path = "attempt_tests.rs"]
mod tests;
