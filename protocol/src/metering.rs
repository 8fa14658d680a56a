//! Counts of requests that began, on their way from routers to the controller that tells the platform.

use rkyv::{Archive, Deserialize, Serialize};

/// How many requests of a tenant began.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TenantCount {
    /// The name of the tenant.
    pub tenant: String,
    /// How many.
    pub count: u64,
}

/// Counts of one window of time, from its beginning on.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The number of the window.
    pub window: u64,
    /// The counts; tenants that are not named have none, or the same as before.
    pub tenants: Vec<TenantCount>,
}

/// What one router process counted.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouterCounts {
    /// Tells processes of routers apart.
    pub router: u64,
    /// By window.
    pub windows: Vec<WindowCounts>,
}

/// A controller asks a router that renews at it for counts.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MeteringRequest {
    /// The address of the controller.
    pub controller: String,
    /// Tells processes of that controller apart: a new one knows nothing.
    pub incarnation: u64,
}

/// Asks a controller for the counts that routers reported to it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MeteringQuery {
    /// Of these windows.
    pub windows: Vec<u64>,
}

/// The response to [`MeteringQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MeteringTables {
    /// Whether the routers that renew at the responder have had time to report what they keep.
    pub is_complete: bool,
    /// By router process.
    pub routers: Vec<RouterCounts>,
}
