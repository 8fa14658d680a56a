//! The client-facing side: connections, requests, authorization, admission, graceful shutdown, and error responses.

pub mod admission;
pub mod authorization;
pub mod body_scanner;
pub mod client_body;
pub mod close_delimited;
pub mod drain;
pub mod error_response;
pub mod framing_check;
pub mod head_scanner;
pub mod listener;
pub mod request;
pub mod request_guard;
pub mod request_target;
