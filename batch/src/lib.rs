//! Deferrable work: batches of jobs that wait for idle engines, each job answered exactly once.
//! Pure: what is durable comes in and goes out as values; time comes in with every call.
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

/// Bounds, stated in docs/batches.md and checked when a batch is submitted.
pub const MAX_JOBS: usize = 256;
pub const MAX_BATCH_BYTES: usize = 512 * 1024;
pub const MAX_JOB_NAME_BYTES: usize = 64;
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024;
/// Jobs on one page: one write to the ledger carries one page.
pub const JOBS_PER_PAGE: usize = 32;
/// Batches kept at once, finished ones included.
pub const MAX_BATCHES: usize = 16;
/// A finished batch is kept for so long.
pub const RETENTION_MS: u64 = 3_600_000;
pub const MAX_WINDOW_S: u64 = 7 * 24 * 3600;
