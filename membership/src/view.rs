//! The membership view of one controller.

use std::collections::BTreeMap;

use crate::{Peer, PeerReport, PlatformAccess, RouterLease};

/// The peers and routers that one controller knows.
///
/// Invariants: [`Peer::last_seen`] never goes back; a peer is live for `liveness_timeout_ms` after its last heartbeat; a
/// router holds its lease until [`RouterLease::expires_at`].
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// The address of the controller that keeps this view.
    pub own_ip: String,
    /// The zone of that controller.
    pub zone: String,
    /// How long a peer stays live and confirmed after its last heartbeat, in milliseconds.
    pub liveness_timeout_ms: u64,
    /// Every other controller that is known, by address.
    pub controllers: BTreeMap<String, Peer>,
    /// Routers with their leases at this controller, by node name.
    pub routers: BTreeMap<String, RouterLease>,
    /// Ids of engines that this controller is about to change between prefill and decode, and until when each counts as such.
    pub reassigning: Vec<(String, u64)>,
    /// Routers as counted when last confirmed, or more that were seen since.
    pub(crate) confirmed_router_count: u32,
    /// By peer: when it last reported that it is confirmed.
    pub(crate) last_confirmed: BTreeMap<String, u64>,
    /// By peer: its last report.
    pub reports: BTreeMap<String, PeerReport>,
    /// This controller's own access to the platform.
    pub platform_access: PlatformAccess,
}

impl MembershipView {
    /// Creates the view of a controller that knows nobody else yet.
    pub fn new(own_ip: &str, zone: &str, liveness_timeout_ms: u64) -> Self {
        MembershipView { own_ip: own_ip.into(), zone: zone.into(), liveness_timeout_ms, ..MembershipView::default() }
    }

    /// Takes in a heartbeat. An older one than the last replaces everything but the time of the last.
    pub fn observe(&mut self, ip: &str, peer: Peer) {
        let known_last_seen = self.controllers.get(ip).map_or(0, |known| known.last_seen);
        let last_seen = known_last_seen.max(peer.last_seen);
        self.controllers.insert(ip.into(), Peer { last_seen, ..peer });
    }

    /// Takes in what a peer reported at `now`.
    pub fn record_report(&mut self, peer: &str, report: PeerReport, now: u64) {
        if report.confirmed {
            self.last_confirmed.insert(peer.into(), now);
        }
        self.reports.insert(peer.into(), report);
    }

    /// Returns the zone of a controller; empty while it is not known.
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
