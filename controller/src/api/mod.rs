//! The operators' interface over HTTP: routes, requests and their responses.

pub mod operator_requests;
pub mod routes;
pub mod staleness_limits;
pub mod version_rollouts;
