//! The path of one request: it is planned and sent to engines in one or two phases, and its response is classified and
//! forwarded. It is retried or resumed where that is allowed.
//!
//! `plan` chooses the prefill engine before anything is sent. `exchange` holds the state of one request; `engine_send`
//! sends it to individual engines through `send`. `phases` executes prefill and decode on two engines; `forward`
//! chooses between that and a single engine, and `stream` streams the response to the client.

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
pub mod response_window;
pub mod send;
mod stream;
pub mod stream_duration;
