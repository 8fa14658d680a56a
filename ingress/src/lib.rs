//! Limits on what remote peers can make a process hold: memory, connections, and time without progress.
//!
//! [`MemoryBudget`] is the account of a process's memory for its peers. Whoever buffers their bytes holds a
//! [`Reservation`] that grows before the buffer does and is returned when it is dropped. [`read_body`] reads a request
//! body on this account. [`ConnectionLimits`] gives the number of connections of each listener, and [`http_server`] the
//! settings that bound the buffers of one HTTP connection.

#![deny(missing_docs)]

mod body;
mod body_progress;
mod connection_limits;
pub mod http_server;
mod memory_budget;
mod reserved;

pub use body::{read_body, read_buffer, BodyError, BodyLimits};
pub use connection_limits::ConnectionLimits;
pub use memory_budget::{MemoryBudget, OutOfMemory, Purpose, Reservation, PURPOSES, UNCHARGED_BYTES};
pub use reserved::ReservedBytes;
