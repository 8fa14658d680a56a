//! Deferrable work: batches of jobs that run on idle engines, each of which is finished exactly once.
//!
//! An operator submits a batch of jobs with a time window. One controller at a time owns the batches, under an epoch.
//! It claims the pages of job states under its epoch, dispatches jobs while engines are idle, and writes each job's
//! final state once. A job that may not be repeated is never sent twice: its start is durable before it is sent, and a
//! new owner doesn't send it again.
//!
//! The crate does no I/O and reads no clock: callers pass durable records and the current time as values.
//! `docs/batches.md` states the design and the limits.
#![deny(missing_docs)]

mod attempt;
mod concurrency_limit;
mod dispatch;
mod job_page;
mod record;
mod specification;
pub mod testing;

pub use attempt::{state_after, AttemptOutcome, MAX_ATTEMPTS};
pub use concurrency_limit::ConcurrencyLimit;
pub use dispatch::{next_dispatches, urgency, BatchView, Dispatch, Urgency};
pub use job_page::{JobPage, JobState, PageError};
pub use record::{batch_id, Batch, Job};
pub use specification::{parse, JobError, RouteLookup, SpecificationError};

/// Maximum number of jobs in a batch.
pub const MAX_JOBS: usize = 256;
/// Maximum total size of the bodies, paths and headers of a submission, in bytes.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Maximum length of a job's name, in bytes.
pub const MAX_JOB_NAME_BYTES: usize = 64;
/// Maximum size of a stored response body, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Number of jobs whose states are stored under one key and written together.
pub const JOBS_PER_PAGE: usize = 32;
/// Maximum number of stored batches, including finished ones.
pub const MAX_BATCHES: usize = 16;
/// Retention time of a finished batch after the end of its window, in milliseconds.
pub const RETENTION_MS: u64 = 3_600_000;
/// Maximum window of a batch, in seconds.
pub const MAX_WINDOW_S: u64 = 7 * 24 * 3600;
