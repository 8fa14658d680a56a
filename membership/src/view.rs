//! The membership view.

use std::collections::BTreeMap;

use crate::{Peer, PeerReport, PlatformAccess, RouterLease};

/// Invariants: `heard` never goes back; a peer is live while it was heard within `span` ms; a
/// router holds its lease while `until` lies ahead.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    pub own_ip: String,
    pub zone: String,
    pub liveness_timeout_ms: u64,
    pub controllers: BTreeMap<String, Peer>,
    pub routers: BTreeMap<String, RouterLease>,
    /// Engines about to change their part, by own order, and until when.
    pub reassigning: Vec<(String, u64)>,
    /// Routers as counted when last sure, or more that were seen since.
    pub(crate) confirmed_router_count: u32,
    /// By peer: when it was last heard to be sure.
    pub(crate) last_confirmed: BTreeMap<String, u64>,
    /// By peer: what it last told of others.
    pub reports: BTreeMap<String, PeerReport>,
    /// Own access to the platform.
    pub platform_access: PlatformAccess,
}

impl MembershipView {
    pub fn new(own_ip: &str, zone: &str, liveness_timeout_ms: u64) -> Self {
        MembershipView { own_ip: own_ip.into(), zone: zone.into(), liveness_timeout_ms, ..MembershipView::default() }
    }

    pub fn observe(&mut self, ip: &str, peer: Peer) {
        let held = self.controllers.get(ip).map_or(0, |held| held.last_seen);
        let last_seen = held.max(peer.last_seen);
        self.controllers.insert(ip.into(), Peer { last_seen, ..peer });
    }

    /// A peer told of others.
    pub fn record_report(&mut self, peer: &str, report: PeerReport, now: u64) {
        if report.confirmed {
            self.last_confirmed.insert(peer.into(), now);
        }
        self.reports.insert(peer.into(), report);
    }

    /// The zone of a controller; empty while it is not known.
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
