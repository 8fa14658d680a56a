//! What controllers tell one another at every heartbeat.

use rkyv::{Archive, Deserialize, Serialize};

use super::{CoreMembership, VersionEntry};

#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Gossip {
    pub ip: String,
    pub zone: String,
    pub incarnation: u64,
    /// It may be made a member of the core.
    pub eligible: bool,
    pub membership: CoreMembership,
    pub peers: Vec<String>,
    /// Routers that hold a lease here.
    pub router_count: u32,
    /// Requests of those routers under way, by engine.
    pub in_flight: Vec<(String, u32)>,
    /// Engines about to change their part.
    pub reassigning: Vec<String>,
    /// Where clients reach the routers that hold a lease here.
    pub frontend_addresses: Vec<String>,
    /// The versions of the engine lists held: who has newer ones sends them.
    pub list_versions: Vec<VersionEntry>,
    /// Turns of lists that routers told of.
    pub observed_list_versions: Vec<VersionEntry>,
}
