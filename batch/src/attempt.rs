//! One attempt at a job: what came of it, and the job's state after it.

use crate::JobState;

/// A repeatable job whose attempts end so many times without an answer is given up.
pub const MAX_ATTEMPTS: u32 = 6;

/// What came of a request that was sent once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Completed {
        status: u16,
        body: String,
    },
    /// It has not run and never will; when to come back, where that was said.
    NotExecuted {
        retry_after_ms: Option<u64>,
    },
    /// It may have run.
    Unknown,
}

/// The job's state after an attempt. `unknown_count`: how many of its attempts had unknown outcomes, this one included.
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
