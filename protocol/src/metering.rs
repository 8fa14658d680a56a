//! Counts of requests that began, sent from routers to the controller that reports them to the platform.

use rkyv::{Archive, Deserialize, Serialize};

/// The number of requests of one tenant that began.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TenantCount {
    /// The name of the tenant.
    pub tenant: String,
    /// The number of requests.
    pub count: u64,
}

/// Counts of one time window, cumulative from its beginning.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The number of the window.
    pub window: u64,
    /// The counts. Omitted tenants have no requests, or the same count as before.
    pub tenants: Vec<TenantCount>,
}

/// The counts of one router process.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouterCounts {
    /// Identifies the router process.
    pub router: u64,
    /// The counts by window.
    pub windows: Vec<WindowCounts>,
}

/// A controller's request for the counts of a router that renews its lease there.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MeteringRequest {
    /// The address of the controller.
    pub controller: String,
    /// Identifies the controller process: a new one has no earlier counts.
    pub incarnation: u64,
}

/// Asks a controller for the counts that routers reported to it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MeteringQuery {
    /// The requested windows.
    pub windows: Vec<u64>,
}

/// The response to [`MeteringQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MeteringTables {
    /// Whether the routers that renew their leases at the responder have had time to report the counts that they keep.
    pub is_complete: bool,
    /// The counts by router process.
    pub routers: Vec<RouterCounts>,
}
