//! One controller's view of the other controllers and of its routers.

use std::collections::BTreeMap;

use crate::{Peer, PeerReport, PlatformAccess, RouterLease};

/// The peers and routers that one controller knows.
///
/// Invariants: [`Peer::last_seen`] never moves back; a peer is live for `liveness_timeout_ms` after its last heartbeat;
/// a router holds its lease until [`RouterLease::expires_at`].
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Address of the controller that keeps this view.
    pub own_ip: String,
    /// Zone of that controller.
    pub zone: String,
    /// Liveness timeout: how long a peer stays live after its last heartbeat and confirmed after it last reported so,
    /// in milliseconds.
    pub liveness_timeout_ms: u64,
    /// The other known controllers, by address.
    pub controllers: BTreeMap<String, Peer>,
    /// Leases of routers at this controller, by node name.
    pub routers: BTreeMap<String, RouterLease>,
    /// Ids of the engines that this controller is about to switch between prefill and decode, each with the expiry of
    /// the entry in milliseconds.
    pub reassigning: Vec<(String, u64)>,
    /// Number of routers when this controller was last confirmed, or a higher number counted since.
    pub(crate) confirmed_router_count: u32,
    /// When each peer last reported that it was confirmed, in milliseconds.
    pub(crate) last_confirmed: BTreeMap<String, u64>,
    /// Last report of each peer.
    pub reports: BTreeMap<String, PeerReport>,
    /// This controller's own access to the platform.
    pub platform_access: PlatformAccess,
}

impl MembershipView {
    /// Creates the view of a controller that knows no peers yet.
    pub fn new(own_ip: &str, zone: &str, liveness_timeout_ms: u64) -> Self {
        MembershipView { own_ip: own_ip.into(), zone: zone.into(), liveness_timeout_ms, ..MembershipView::default() }
    }

    /// Records a heartbeat. One that is older than the last still replaces all fields but `last_seen`.
    pub fn observe(&mut self, ip: &str, peer: Peer) {
        let known_last_seen = self.controllers.get(ip).map_or(0, |known| known.last_seen);
        let last_seen = known_last_seen.max(peer.last_seen);
        self.controllers.insert(ip.into(), Peer { last_seen, ..peer });
    }

    /// Records a report that arrived from a peer at `now`.
    pub fn record_report(&mut self, peer: &str, report: PeerReport, now: u64) {
        if report.confirmed {
            self.last_confirmed.insert(peer.into(), now);
        }
        self.reports.insert(peer.into(), report);
    }

    /// Returns the zone of a controller; empty while unknown.
    pub fn zone_of(&self, ip: &str) -> &str {
        if ip == self.own_ip {
            return &self.zone;
        }
        self.controllers.get(ip).map_or("", |peer| peer.zone.as_str())
    }
}

#[cfg(test)]
#[path = "view_tests.rs"]
mod tests;
