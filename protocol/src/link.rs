//! Connections between daemons.
//!
//! The client side holds a [`PeerClient`]: one connection to one peer, reopened after it breaks. The server side runs
//! [`serve`], which passes each message to a [`Handler`] with a [`Responder`] that sends on the same connection.
//! Connecting, writing, receiving a body and awaiting a response have timeouts, and a queue that is full, by number or
//! by bytes, drops new messages and reports that to the caller, so that a stalled peer takes no memory or time from
//! others. A server limits its connections, and charges long frames to the memory budget before it receives them.

mod bulk_budget;
mod frame_io;
mod peer_client;
mod pending_responses;
mod server;

pub use bulk_budget::MAX_QUEUED_BYTES;
pub use peer_client::PeerClient;
pub use server::{serve, Handler, Responder, ServerLimits};

/// Capacity of a connection's outbound queue, in frames; further frames are dropped.
const QUEUE_CAPACITY: usize = 512;

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
