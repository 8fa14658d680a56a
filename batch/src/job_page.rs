//! The states of up to [`JOBS_PER_PAGE`](crate::JOBS_PER_PAGE) jobs, stored under one key.
//!
//! Other versions of the software read these bytes: the order of fields and variants is part of the format. The epoch
//! of a page is a fencing token: an owner that lost its role can't change a page that its successor claimed.

use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

/// The state of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub enum JobState {
    /// Not in flight; must be sent.
    #[default]
    Waiting,
    /// Sent or about to be sent by the owner under the page's epoch, so that it may be executed.
    Started,
    /// Final: it was executed and has this response.
    Completed {
        /// The HTTP status.
        status: u16,
        /// The response body.
        body: String,
    },
    /// Final: it may have been executed, may not be repeated, and its response is lost.
    OutcomeUnknown,
    /// Final: it has no response by the end of its window, or after [`MAX_ATTEMPTS`](crate::MAX_ATTEMPTS) attempts.
    DeadlineMissed,
    /// Final: the batch was cancelled before the job was sent.
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final, so that it never changes again.
    pub fn is_final(&self) -> bool {
        !matches!(self, JobState::Waiting | JobState::Started)
    }

    /// Returns the name of the state that operators see.
    pub fn as_str(&self) -> &'static str {
        match self {
            JobState::Waiting => "waiting",
            JobState::Started => "running",
            JobState::Completed { .. } => "done",
            JobState::OutcomeUnknown => "unknown",
            JobState::DeadlineMissed => "missed",
            JobState::Cancelled => "cancelled",
        }
    }
}

/// The states of consecutive jobs of one batch.
///
/// Invariants: `epoch` never decreases, only the owner under it changes the page, and a final state never changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub struct JobPage {
    /// The epoch under which the page was last claimed; 0 before the first claim.
    pub epoch: u64,
    /// The state of each job.
    pub states: Vec<JobState>,
}

/// Why a change to a page is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PageError {
    /// The page was claimed under another epoch; for a claim, under the same or a later one.
    #[error("epoch {given} may not change a page claimed under epoch {current}")]
    StaleEpoch {
        /// The epoch of the owner that wants to change the page.
        given: u64,
        /// The epoch under which the page was last claimed.
        current: u64,
    },
    /// The job's state is final, or the job is not on this page.
    #[error("job {index} of the page has its final state or does not exist")]
    JobNotOpen {
        /// The job's index on the page.
        index: usize,
    },
}

impl JobPage {
    /// Returns an unclaimed page on which all jobs are waiting.
    pub fn new(count: usize) -> JobPage {
        JobPage { epoch: 0, states: vec![JobState::Waiting; count] }
    }

    /// Makes the owner under `epoch` the owner of the page. Jobs that the previous owner started may have been
    /// executed: they are waiting again if `repeatable`, else their outcome is unknown.
    ///
    /// # Errors
    ///
    /// [`PageError::StaleEpoch`] if the page was claimed under this epoch or a later one.
    pub fn claim(&mut self, epoch: u64, repeatable: impl Fn(usize) -> bool) -> Result<(), PageError> {
        if epoch <= self.epoch {
            return Err(PageError::StaleEpoch { given: epoch, current: self.epoch });
        }
        self.epoch = epoch;
        for (index, state) in self.states.iter_mut().enumerate() {
            if *state == JobState::Started {
                *state = if repeatable(index) { JobState::Waiting } else { JobState::OutcomeUnknown };
            }
        }
        Ok(())
    }

    /// Marks a job as started. This must be durable before the job is sent.
    ///
    /// # Errors
    ///
    /// [`PageError`] if the page belongs to another owner, or the job is final or not on the page.
    pub fn start(&mut self, index: usize, epoch: u64) -> Result<(), PageError> {
        self.set_state(index, epoch, JobState::Started)
    }

    /// Marks a job that was not executed as waiting again.
    ///
    /// # Errors
    ///
    /// [`PageError`] if the page belongs to another owner, or the job is final or not on the page.
    pub fn requeue(&mut self, index: usize, epoch: u64) -> Result<(), PageError> {
        self.set_state(index, epoch, JobState::Waiting)
    }

    /// Sets a job's state after an attempt: final, or waiting for another attempt.
    ///
    /// # Errors
    ///
    /// [`PageError`] if the page belongs to another owner, or the job is final or not on the page.
    pub fn finish(&mut self, index: usize, epoch: u64, state: JobState) -> Result<(), PageError> {
        self.set_state(index, epoch, state)
    }

    fn set_state(&mut self, index: usize, epoch: u64, state: JobState) -> Result<(), PageError> {
        if epoch != self.epoch {
            return Err(PageError::StaleEpoch { given: epoch, current: self.epoch });
        }
        let Some(stored) = self.states.get_mut(index).filter(|stored| !stored.is_final()) else {
            return Err(PageError::JobNotOpen { index });
        };
        *stored = state;
        Ok(())
    }

    /// Returns whether all states are final.
    pub fn is_final(&self) -> bool {
        self.states.iter().all(JobState::is_final)
    }
}

kernel::impl_archive_bytes!(JobPage);

#[cfg(test)]
#[path = "job_page_tests.rs"]
mod tests;
