//! The path of one request: planned, sent to engines in one or two phases, its response classified and forwarded,
//! retried or resumed where that is allowed.
//!
//! `plan` decides as data, before anything is sent. `exchange` is the state of one request; `engine_send` makes
//! single sends of it through `send`. `phases` carries out prefill and decode; `forward` chooses between that and a
//! single engine, and `stream` streams the response to the client.

pub mod duration_estimate;
mod engine_response;
mod engine_send;
pub mod event_stream;
pub mod exchange;
pub mod forward;
pub mod phases;
pub mod plan;
pub mod response_body;
pub mod response_head;
pub mod send;
mod stream;
pub mod stream_duration;
