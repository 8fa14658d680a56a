//! Deferrable work: batch records and the runner that carries their jobs out.
//!
//! A batch and its jobs are committed before anything is sent. The states of its jobs stand in pages, which are registers
//! of their own, so that the outcome of one job does not make the whole batch be written again.

pub mod job_attempt;
pub mod job_request;
pub mod records;
pub mod runner;
