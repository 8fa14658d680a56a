//! Deferrable work: batch records and the runner that executes their jobs.
//!
//! A batch and its jobs are committed before any job is sent. Job states are stored in pages, which have their own
//! registers, so that the outcome of one job does not rewrite the whole batch.

pub mod job_attempt;
pub mod job_request;
pub mod records;
pub mod runner;
