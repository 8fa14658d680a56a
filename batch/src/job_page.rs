//! The durable state of up to `JOBS_PER_PAGE` jobs: what one key of the ledger holds.

use rkyv::{Archive, Deserialize, Serialize};
use thiserror::Error;

#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub enum JobState {
    #[default]
    Waiting,
    /// Sent, by the owner of the page's epoch: it may run.
    Started,
    /// Answered: the one receipt.
    Completed {
        status: u16,
        body: String,
    },
    /// It may have run and may not be repeated; its answer is lost.
    OutcomeUnknown,
    /// It could not make its window. It has not run, or its runs gave no answer.
    DeadlineMissed,
    Cancelled,
}

impl JobState {
    /// A receipt: final, never changed again.
    pub fn is_final(&self) -> bool {
        !matches!(self, JobState::Waiting | JobState::Started)
    }

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

/// Invariants: `epoch` never falls, and only the owner under it changes the page; a closed state is
/// never changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub struct JobPage {
    pub epoch: u64,
    pub states: Vec<JobState>,
}

/// Why a change is not made: another owner holds the page, or the job has its receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PageError {
    /// Another owner claimed the page under a later epoch, or none under this one.
    #[error("epoch {given} may not change a page claimed under epoch {current}")]
    StaleEpoch {
        /// The epoch of the owner that wants to change the page.
        given: u64,
        /// The epoch under which the page was last claimed.
        current: u64,
    },
    /// The job has its final state, or is not on this page.
    #[error("job {index} of the page has its final state or does not exist")]
    JobNotOpen {
        /// The job's index on the page.
        index: usize,
    },
}

impl JobPage {
    pub fn new(count: usize) -> JobPage {
        JobPage { epoch: 0, states: vec![JobState::Waiting; count] }
    }

    /// A new owner takes the page over. What the last one sent may have run: it is run again only
    /// where that is allowed, else its outcome is unknown.
    pub fn claim(&mut self, epoch: u64, repeatable: impl Fn(usize) -> bool) -> Result<(), PageError> {
        if epoch <= self.epoch {
            return Err(PageError::StaleEpoch { given: epoch, current: self.epoch });
        }
        self.epoch = epoch;
        for (at, state) in self.states.iter_mut().enumerate() {
            if *state == JobState::Started {
                *state = if repeatable(at) { JobState::Waiting } else { JobState::OutcomeUnknown };
            }
        }
        Ok(())
    }

    /// Must be durable before the job is sent.
    pub fn start(&mut self, at: usize, epoch: u64) -> Result<(), PageError> {
        self.set_state(at, epoch, JobState::Started)
    }

    /// It has not run: it waits again.
    pub fn requeue(&mut self, at: usize, epoch: u64) -> Result<(), PageError> {
        self.set_state(at, epoch, JobState::Waiting)
    }

    pub fn finish(&mut self, at: usize, epoch: u64, state: JobState) -> Result<(), PageError> {
        self.set_state(at, epoch, state)
    }

    fn set_state(&mut self, at: usize, epoch: u64, state: JobState) -> Result<(), PageError> {
        if epoch != self.epoch {
            return Err(PageError::StaleEpoch { given: epoch, current: self.epoch });
        }
        let Some(stored) = self.states.get_mut(at).filter(|stored| !stored.is_final()) else {
            return Err(PageError::JobNotOpen { index: at });
        };
        *stored = state;
        Ok(())
    }

    pub fn is_final(&self) -> bool {
        self.states.iter().all(JobState::is_final)
    }
}

kernel::bytes!(JobPage);

#[cfg(test)]
#[path = "job_page_tests.rs"]
mod tests;
