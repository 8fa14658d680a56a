//! The operators' HTTP interface: resources, requests and their responses.
//!
//! A resource reads its request, has it executed, and returns an [`response::ApiResponse`]; only `response` knows its
//! representation in HTTP.

pub mod batches;
pub mod config;
pub mod operator_requests;
pub mod request;
pub mod response;
pub mod routes;
pub mod server;
pub mod staleness_limits;
pub mod status;
pub mod tallies;
pub mod usage;
pub mod version_rollouts;
