//! The way of one request: planned, sent to engines in one or two phases, its response classified and forwarded, retried or resumed where that is allowed.

pub mod duration_estimate;
pub mod event_stream;
pub mod exchange;
pub mod forward;
pub mod phases;
pub mod plan;
pub mod response_body;
pub mod response_head;
pub mod send;
