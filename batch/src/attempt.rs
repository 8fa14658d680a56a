//! The outcome of one attempt at a job, and the job's state after it.

use crate::JobState;

/// Maximum number of attempts with an unknown outcome, after which a repeatable job is given up.
pub const MAX_ATTEMPTS: u32 = 6;

/// The outcome of one attempt to send a job's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A router returned the engine's response.
    Completed {
        /// The HTTP status.
        status: u16,
        /// The response body.
        body: String,
    },
    /// The request was not executed and never will be.
    NotExecuted {
        /// Delay before the next attempt in milliseconds, if the response gave one.
        retry_after_ms: Option<u64>,
    },
    /// The request may have been executed.
    Unknown,
}

/// Returns a job's state after an attempt. `unknown_count` is the number of its attempts with an unknown outcome,
/// including this one.
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
