//! Heartbeats between controllers.

use rkyv::{Archive, Deserialize, Serialize};

use super::{CoreMembership, VersionEntry};

/// A heartbeat from one controller to another: its identity, the peers that it knows and the state that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's address.
    pub ip: String,
    /// The sender's zone.
    pub zone: String,
    /// Differs between runs of one daemon.
    pub incarnation: u64,
    /// Whether the sender may become a voting member.
    pub eligible: bool,
    /// The members that the sender knows.
    pub membership: CoreMembership,
    /// The addresses of the controllers that the sender knows.
    pub peers: Vec<String>,
    /// Number of routers that hold a lease at the sender.
    pub router_count: u32,
    /// Those routers' requests in flight, by engine.
    pub in_flight: Vec<(String, u32)>,
    /// Engines about to switch between prefill and decode.
    pub reassigning: Vec<String>,
    /// The client-facing addresses of the routers that hold a lease at the sender.
    pub frontend_addresses: Vec<String>,
    /// The versions of the endpoint lists that the sender holds, and hidden keys: a receiver with newer lists sends
    /// them.
    pub list_versions: Vec<VersionEntry>,
    /// The terms of endpoint lists that routers reported.
    pub observed_list_versions: Vec<VersionEntry>,
}
