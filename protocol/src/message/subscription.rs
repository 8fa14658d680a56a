//! Subscriptions: a router renews its lease at a controller, says what it holds and gets what it lacks.

use rkyv::{Archive, Deserialize, Serialize};

use super::{EndpointList, EvacuationState, VersionEntry};

#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SubscriptionRenewal {
    pub node: String,
    pub zone: String,
    pub incarnation: u64,
    pub config_revision: u64,
    pub evacuation_versions: Vec<(String, u64)>,
    pub list_versions: Vec<VersionEntry>,
    /// Own requests under way, by engine.
    pub in_flight: Vec<(String, u32)>,
    /// Where clients reach it.
    pub frontend_address: String,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The controller confirmed its versions at a majority a moment ago.
    pub confirmed: bool,
    pub config: Option<(u64, Vec<u8>)>,
    /// Zones whose evacuation began or was withdrawn.
    pub evacuations: Vec<EvacuationState>,
    pub endpoint_lists: Vec<EndpointList>,
    /// How many routers hold a lease: shared bounds are cut into as many slices.
    pub router_count: u32,
    pub peers: Vec<String>,
    /// Engines about to change their part: nothing new is sent to them.
    pub reassigning: Vec<String>,
    /// The holder of the catalog and its epoch.
    pub catalog: (u64, String),
}
