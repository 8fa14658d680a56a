//! The stored record of a batch. Other versions of the software read these bytes: the order of fields is part of the
//! format.

use kernel::hashing;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{JOBS_PER_PAGE, RETENTION_MS};

/// One job of a batch: the request to send.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub struct Job {
    /// Its name, unique in the batch.
    pub name: String,
    /// The HTTP method.
    pub method: String,
    /// The hostname that selects its route.
    pub host: String,
    /// The absolute path, starting with a slash.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: String,
    /// Whether it may be executed more than once, according to its route when the batch was submitted.
    pub repeatable: bool,
}

/// A batch, stored under one key.
///
/// Invariants: `digest` never changes, and `jobs` changes only when the batch expires; a cancelled or expired batch
/// never becomes active again; `elapsed_ms` never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub struct Batch {
    /// The idempotency key of its submission.
    pub idempotency_key: String,
    /// Hash of the submission, used to reject the same key with other content.
    pub digest: u64,
    /// The time within which its jobs must be finished, in milliseconds.
    pub window_ms: u64,
    /// Steady time since its submission, as counted by its owners, in milliseconds.
    pub elapsed_ms: u64,
    /// Whether an operator cancelled it.
    pub cancelled: bool,
    /// Whether it is finished and its window ended at least `RETENTION_MS` ago; its jobs are dropped then.
    pub expired: bool,
    /// Its jobs, in the order of the submission.
    pub jobs: Vec<Job>,
}

/// Returns the id of a batch. It depends only on the idempotency key, so that each key identifies one batch.
pub fn batch_id(key: &str) -> String {
    format!("{:016x}", hashing::hash(key.as_bytes()))
}

impl Batch {
    /// Returns the number of pages that store its jobs' states.
    pub fn page_count(&self) -> usize {
        self.jobs.len().div_ceil(JOBS_PER_PAGE)
    }

    /// Returns the remaining time of its window, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.window_ms.saturating_sub(self.elapsed_ms)
    }

    /// Adds `additional_ms` to the elapsed time if that equals `expected_ms`, the value that the owner read. A finished
    /// batch expires after its retention time; its key and digest stay, so that the key is never used for other
    /// content.
    ///
    /// Returns `false` and changes nothing if the owner's value is out of date. This prevents a change that was
    /// committed with an unknown outcome from counting the same time twice when it is repeated.
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

    /// Returns the total size of its jobs' names, paths and bodies, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.jobs.iter().map(|job| job.body.len() + job.path.len() + job.name.len()).sum()
    }
}

kernel::impl_archive_bytes!(Batch);

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
