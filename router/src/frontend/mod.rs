//! The clients' side: connections, request heads and bodies, authorization, admission, draining, and the router's own error responses.

pub mod admission;
pub mod authorization;
pub mod drain;
pub mod error_response;
pub mod framing_check;
pub mod listener;
pub mod request;
pub mod request_guard;
