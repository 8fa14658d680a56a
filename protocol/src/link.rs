//! Connections between daemons.
//!
//! The side that asks holds a [`PeerClient`]: one connection to one peer, dialled again when it breaks. The side that
//! serves runs [`serve`], which hands each message to a [`Handler`] together with a [`Responder`], the way back on the
//! same connection. Every wait has a deadline, and a queue that is full, by number or by bytes, drops a message and says so
//! to its sender: a peer that stands still must not take memory or time from one that does not.

mod bulk_budget;
mod frame_io;
mod peer_client;
mod pending_responses;
mod server;

pub use bulk_budget::MAX_QUEUED_BYTES;
pub use peer_client::PeerClient;
pub use server::{serve, Handler, Responder};

/// Frames that wait for one connection at most; what comes on top is dropped.
const QUEUE_CAPACITY: usize = 512;

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
