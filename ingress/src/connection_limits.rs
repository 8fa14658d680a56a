//! How many connections a process accepts.

use kernel::settings::Limits;

/// File descriptors that are reserved for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// The smallest limit of a listener, even if there are very few file descriptors.
const MIN_CONNECTIONS: u64 = 16;
/// The memory that an HTTP connection may take beside what is reserved for it, in bytes: its buffers and its tasks.
const HTTP_CONNECTION_BYTES: u64 = 32 * 1024;
/// The same of a connection of another daemon, whose frames are charged.
const PEER_CONNECTION_BYTES: u64 = 8 * 1024;
const BYTES_PER_MB: u64 = 1_000_000;

/// The maximum number of concurrent connections of each listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Of clients, at a router.
    pub clients: usize,
    /// Of operators, at a controller.
    pub operators: usize,
    /// Of other daemons, at a controller.
    pub peers: usize,
}

impl ConnectionLimits {
    /// Returns the limits of a process. A part of the file descriptors is left to the connections that it opens itself.
    pub fn new(limits: &Limits) -> ConnectionLimits {
        let descriptors = limits.fd_limit.saturating_sub(RESERVED_DESCRIPTORS);
        let memory = limits.memory_mb * BYTES_PER_MB;
        let clients = (descriptors / 2).min(memory / 4 / HTTP_CONNECTION_BYTES);
        let operators = (descriptors / 8).min(memory / 16 / HTTP_CONNECTION_BYTES);
        let peers = (descriptors / 8 * 5).min(memory / 8 / PEER_CONNECTION_BYTES);
        let [clients, operators, peers] =
            [clients, operators, peers].map(|connections| connections.max(MIN_CONNECTIONS) as usize);
        ConnectionLimits { clients, operators, peers }
    }
}

#[cfg(test)]
#[path = "connection_limits_tests.rs"]
mod tests;
