//! One attempt at a job: what came of it, and the job's state after it.

use crate::page::State;

/// A repeatable job whose attempts end so many times without an answer is given up.
pub const ATTEMPTS: u32 = 6;

/// What came of a request that was sent once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered {
        status: u16,
        body: String,
    },
    /// It has not run and never will; when to come back, where that was said.
    NotRun {
        retry_after_ms: Option<u64>,
    },
    /// It may have run.
    Lost,
}

/// The job's state after an attempt. `lost`: how many of its attempts were lost, this one included.
pub fn state_after(outcome: Outcome, repeatable: bool, lost: u32) -> State {
    match outcome {
        Outcome::Answered { status, body } => State::Done { status, body },
        Outcome::NotRun { .. } => State::Waiting,
        Outcome::Lost if !repeatable => State::Unknown,
        Outcome::Lost if lost >= ATTEMPTS => State::Missed,
        Outcome::Lost => State::Waiting,
    }
}

#[cfg(test)]
#[path = "attempt_tests.rs"]
mod tests;
