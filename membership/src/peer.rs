//! What is known of another controller: its last heartbeat, and what it reported of others.

/// Another controller as its last heartbeat described it.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its zone; empty while it is not known.
    pub zone: String,
    /// Differs between two runs of its process.
    pub incarnation: u64,
    /// When its last heartbeat came, in milliseconds of the own steady clock.
    pub last_seen: u64,
    /// Whether it may be made a voting member.
    pub eligible: bool,
    /// How many routers hold a lease at it.
    pub router_count: u32,
    /// The newest version of messages and bodies that it reads.
    pub protocol_version: u64,
    /// Whether it announced that its process is about to end.
    pub shutting_down: bool,
    /// Requests of its routers in flight, by engine id.
    pub in_flight: Vec<(String, u32)>,
    /// Ids of engines that it is about to change between prefill and decode, and until when each counts as such.
    pub reassigning: Vec<(String, u64)>,
    /// Where clients reach its routers.
    pub frontend_addresses: Vec<String>,
}

/// What a peer last reported of itself and of others.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// Whether a quorum confirmed its state a moment ago.
    pub confirmed: bool,
    /// Addresses of the controllers whose heartbeats reach it and that are confirmed.
    pub confirmations: Vec<String>,
    /// Whether it gets no response from the platform.
    pub platform_unreachable: bool,
}
