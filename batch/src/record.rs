//! The record of a batch, as control state stores it. Other versions of the software read these bytes: the order of fields is
//! part of the format.

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
    /// The path, from a slash on.
    pub path: String,
    /// Names and values of headers.
    pub headers: Vec<(String, String)>,
    /// The body of the request.
    pub body: String,
    /// Whether it may be executed more than once, by its route when the batch was submitted.
    pub repeatable: bool,
}

/// A batch, stored under one key.
///
/// Invariants: `digest` never changes, and `jobs` only when the batch expires; a batch that was cancelled or has expired never
/// becomes active again; `elapsed_ms` never falls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Deserialize, Serialize)]
pub struct Batch {
    /// The key under which it was submitted.
    pub idempotency_key: String,
    /// Hash of the submission: the same key with other content is rejected.
    pub digest: u64,
    /// The time in which its jobs are to be finished, in milliseconds.
    pub window_ms: u64,
    /// Steady time since its submission, as its owners counted it, in milliseconds.
    pub elapsed_ms: u64,
    /// Whether an operator cancelled it.
    pub cancelled: bool,
    /// Whether it was finished for longer than `RETENTION_MS`; its jobs are dropped then.
    pub expired: bool,
    /// Its jobs, in the order of the submission.
    pub jobs: Vec<Job>,
}

/// Returns the id of a batch. It depends on the idempotency key alone, so that one key is one batch.
pub fn batch_id(key: &str) -> String {
    format!("{:016x}", hashing::hash(key.as_bytes()))
}

impl Batch {
    /// Returns how many pages its jobs' states take.
    pub fn page_count(&self) -> usize {
        self.jobs.len().div_ceil(JOBS_PER_PAGE)
    }

    /// Returns what is left of its window, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.window_ms.saturating_sub(self.elapsed_ms)
    }

    /// Adds `additional_ms` to the elapsed time that its owner saw, `expected_ms`. A finished batch expires after its
    /// retention; its key and digest stay, so that the key is never used for other content.
    ///
    /// Returns `false` and changes nothing if the owner's view is out of date. So a change whose outcome was unknown, but that
    /// was committed, does not count the same time twice when it is repeated.
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

    /// Returns the bytes of its jobs' names, paths and bodies.
    pub fn size_bytes(&self) -> usize {
        self.jobs.iter().map(|job| job.body.len() + job.path.len() + job.name.len()).sum()
    }
}

kernel::impl_archive_bytes!(Batch);

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
