//! What controllers tell one another at every heartbeat.

use rkyv::{Archive, Deserialize, Serialize};

use super::{CoreMembership, VersionEntry};

/// A heartbeat of one controller to another: who it is, whom it knows and what it holds.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's address.
    pub ip: String,
    /// The sender's zone.
    pub zone: String,
    /// Differs between two runs of one daemon.
    pub incarnation: u64,
    /// Whether the sender may be made a voting member.
    pub eligible: bool,
    /// The members that the sender knows.
    pub membership: CoreMembership,
    /// The addresses of the controllers that the sender knows.
    pub peers: Vec<String>,
    /// How many routers hold a lease at the sender.
    pub router_count: u32,
    /// Those routers' requests in flight, by engine.
    pub in_flight: Vec<(String, u32)>,
    /// Engines about to change between prefill and decode.
    pub reassigning: Vec<String>,
    /// Where clients reach the routers that hold a lease at the sender.
    pub frontend_addresses: Vec<String>,
    /// The versions of the endpoint lists that the sender holds, and hidden keys: whoever has newer lists sends them.
    pub list_versions: Vec<VersionEntry>,
    /// The terms of lists that routers reported.
    pub observed_list_versions: Vec<VersionEntry>,
}
