//! Deferrable work: batch records and the runner that carries their jobs out.

pub mod job_attempt;
pub mod job_request;
pub mod records;
pub mod runner;
