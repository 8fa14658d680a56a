//! Subscriptions: a router renews its lease at a controller, reports the state that it holds and receives the state
//! that it lacks.

use rkyv::{Archive, Deserialize, Serialize};

use super::{EndpointList, EvacuationState, VersionEntry};

/// Renews a router's lease and reports the state that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SubscriptionRenewal {
    /// The router's name.
    pub node: String,
    /// The router's zone.
    pub zone: String,
    /// Differs between runs of one router.
    pub incarnation: u64,
    /// The revision of the configuration that it holds; 0 for none.
    pub config_revision: u64,
    /// The versions of the evacuations that it holds, by zone, and of committed registers, by hidden key.
    pub evacuation_versions: Vec<(String, u64)>,
    /// The versions of the endpoint lists that it holds, and hidden keys.
    pub list_versions: Vec<VersionEntry>,
    /// Its requests in flight, by engine.
    pub in_flight: Vec<(String, u32)>,
    /// Its client-facing address; empty while it shuts down.
    pub frontend_address: String,
}

/// State that a subscriber lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StateUpdate {
    /// Whether the controller recently confirmed its state at a quorum.
    pub confirmed: bool,
    /// A newer configuration: its revision and its text. Only for routers of version 1.
    pub config: Option<(u64, Vec<u8>)>,
    /// Zones whose evacuation began or was withdrawn.
    pub evacuations: Vec<EvacuationState>,
    /// Newer endpoint lists.
    pub endpoint_lists: Vec<EndpointList>,
    /// Number of routers that hold a lease; shared limits are divided by it.
    pub router_count: u32,
    /// The addresses of the controllers, in this router's order of preference.
    pub peers: Vec<String>,
    /// Engines about to switch between prefill and decode; they get no new requests.
    pub reassigning: Vec<String>,
    /// The epoch of the catalog's owner, and the owner's address.
    pub catalog: (u64, String),
}
