//! How many connections a process accepts.

use kernel::settings::Limits;

/// File descriptors that are reserved for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// The smallest limit of a listener, even if there are very few file descriptors.
const MIN_CONNECTIONS: usize = 16;
/// The memory that a connection may take beside what is reserved for it, in bytes: its buffers and its tasks.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// Connections may take this part of the memory in total.
const MEMORY_DIVISOR: u64 = 4;
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
    /// Returns the limits of a process. Half of the file descriptors that are not reserved are left to the connections
    /// that it opens itself.
    pub fn new(limits: &Limits) -> ConnectionLimits {
        let descriptors = limits.fd_limit.saturating_sub(RESERVED_DESCRIPTORS);
        let by_memory = limits.memory_mb * BYTES_PER_MB / MEMORY_DIVISOR / CONNECTION_BYTES;
        let all = descriptors.div_euclid(2).min(by_memory) as usize;
        ConnectionLimits {
            clients: all.max(MIN_CONNECTIONS),
            operators: (all / 4).max(MIN_CONNECTIONS),
            peers: (all - all / 4).max(MIN_CONNECTIONS),
        }
    }
}

#[cfg(test)]
#[path = "connection_limits_tests.rs"]
mod tests;
