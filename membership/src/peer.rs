//! State of another controller: its last heartbeat and its last report.

/// Another controller, as described by its last heartbeat.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its zone; empty while unknown.
    pub zone: String,
    /// Identifies one run of its process; changes with every restart.
    pub incarnation: u64,
    /// When its last heartbeat arrived, in milliseconds of this controller's monotonic clock.
    pub last_seen: u64,
    /// Whether it may become a voting member.
    pub eligible: bool,
    /// Number of routers with a lease at it.
    pub router_count: u32,
    /// Newest version of messages and stored bodies that it can read.
    pub protocol_version: u64,
    /// Whether it announced that its process is shutting down.
    pub shutting_down: bool,
    /// Requests in flight of its routers, by engine id.
    pub in_flight: Vec<(String, u32)>,
    /// Ids of the engines that it is about to switch between prefill and decode, each with the expiry of the entry.
    pub reassigning: Vec<(String, u64)>,
    /// Addresses at which clients reach its routers.
    pub frontend_addresses: Vec<String>,
}

/// The last report of a peer about itself and others.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// Whether a quorum recently confirmed its state.
    pub confirmed: bool,
    /// Addresses of the controllers that are confirmed as seen by it.
    pub confirmations: Vec<String>,
    /// Whether its polls of the platform get no response.
    pub platform_unreachable: bool,
}
