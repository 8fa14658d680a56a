//! What is known of another controller.

#[derive(Clone, Debug, Default)]
pub struct Peer {
    pub zone: String,
    pub incarnation: u64,
    pub last_seen: u64,
    pub eligible: bool,
    pub router_count: u32,
    /// The newest version of messages and bodies that it reads.
    pub protocol_version: u64,
    /// It said that its process is about to end.
    pub shutting_down: bool,
    /// Requests of its routers under way, by engine.
    pub in_flight: Vec<(String, u32)>,
    pub reassigning: Vec<(String, u64)>,
    /// Where clients reach its routers.
    pub frontend_addresses: Vec<String>,
}

/// What a peer last told of others.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// It confirmed its state at a majority a moment ago.
    pub confirmed: bool,
    /// Controllers that it hears and that are sure.
    pub confirmations: Vec<String>,
    /// It gets no answer from the platform.
    pub platform_unreachable: bool,
}
