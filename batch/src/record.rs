//! The record of a batch, as control state stores it.

use kernel::clock;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{JOBS_PER_PAGE, RETENTION_MS};

#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub struct Job {
    pub name: String,
    pub method: String,
    pub host: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// May it run more than once? Taken from its route when the batch was submitted.
    pub repeatable: bool,
}

/// What the key of a batch holds. Invariants: `jobs` and `digest` never change once written; a batch
/// that was cancelled or has expired never becomes live again; `elapsed_ms` never falls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub struct Batch {
    pub idempotency_key: String,
    pub digest: u64,
    pub window_ms: u64,
    /// Steady time spent so far, as the owners counted it.
    pub elapsed_ms: u64,
    pub cancelled: bool,
    pub expired: bool,
    pub jobs: Vec<Job>,
}

/// The id of a batch: from its key alone, so that one key is one batch.
pub fn batch_id(key: &str) -> String {
    format!("{:016x}", clock::hash(key.as_bytes()))
}

impl Batch {
    pub fn page_count(&self) -> usize {
        self.jobs.len().div_ceil(JOBS_PER_PAGE)
    }

    pub fn remaining_ms(&self) -> u64 {
        self.window_ms.saturating_sub(self.elapsed_ms)
    }

    /// Counts steady time on top of what its owner saw; a batch that has all its receipts expires once it
    /// was kept long enough. Only its key stays, so that it is never used for other content. False: what
    /// the owner saw is out of date, as when a change without clear outcome had been carried out: the
    /// same time must not count twice.
    pub fn add_elapsed(&mut self, expected_ms: u64, additional_ms: u64, is_finished: bool) -> bool {
        if expected_ms != self.elapsed_ms {
            return false;
        }
        self.elapsed_ms += additional_ms;
        if is_finished && self.elapsed_ms >= self.window_ms + RETENTION_MS {
            self.expired = true;
            self.jobs.clear();
        }
        true
    }

    pub fn size_bytes(&self) -> usize {
        self.jobs.iter().map(|job| job.body.len() + job.path.len() + job.name.len()).sum()
    }
}

kernel::bytes!(Batch);

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
