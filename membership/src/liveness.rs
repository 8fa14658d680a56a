//! Liveness, confirmation and availability of controllers.
//!
//! *Live*: its last heartbeat arrived within the liveness timeout. *Confirmed*: it is live and reported within the
//! timeout that a quorum had confirmed its state. *Available*: confirmed as seen by this controller or by any live
//! peer, so that a network partition between only two controllers makes neither of them unavailable.

use crate::{MembershipView, Peer};

impl MembershipView {
    /// Returns whether the last heartbeat of a controller arrived within the liveness timeout. This controller is
    /// always live.
    pub fn is_live(&self, ip: &str, now: u64) -> bool {
        ip == self.own_ip || self.controllers.get(ip).is_some_and(|peer| self.is_peer_live(peer, now))
    }

    /// Returns the time since the last heartbeat of a controller, in milliseconds; `u64::MAX` if none ever arrived.
    pub fn silent_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.own_ip {
            return 0;
        }
        self.controllers.get(ip).map_or(u64::MAX, |peer| now.saturating_sub(peer.last_seen))
    }

    /// Returns whether a controller is confirmed as seen by this one. The result is reported to peers.
    pub fn confirms(&self, ip: &str, now: u64) -> bool {
        self.is_live(ip, now) && self.unconfirmed_ms(ip, now) < self.liveness_timeout_ms
    }

    /// Returns how long a controller has been unavailable, in milliseconds: 0 while a live peer confirms it, else the
    /// time since it last reported to this controller that it was confirmed; `u64::MAX` if it never did.
    ///
    /// A network partition between only two controllers makes neither of them unavailable. A controller that still
    /// sends heartbeats but reaches no quorum is unavailable.
    pub fn unavailable_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.own_ip || self.is_confirmed_by_live_peer(ip, now) {
            return 0;
        }
        self.unconfirmed_ms(ip, now)
    }

    /// Returns the peers whose last heartbeat arrived within the liveness timeout.
    pub(crate) fn live_peers(&self, now: u64) -> impl Iterator<Item = &Peer> {
        self.controllers.values().filter(move |peer| self.is_peer_live(peer, now))
    }

    fn is_peer_live(&self, peer: &Peer, now: u64) -> bool {
        now < peer.last_seen + self.liveness_timeout_ms
    }

    /// Returns whether the last report of another live controller confirms this one. Its own report is ignored, since a
    /// controller can't confirm itself.
    fn is_confirmed_by_live_peer(&self, ip: &str, now: u64) -> bool {
        let mut live_reports = self.reports.iter().filter(|(peer, _)| peer.as_str() != ip && self.is_live(peer, now));
        live_reports.any(|(_, report)| report.confirmations.iter().any(|confirmed| confirmed == ip))
    }

    /// Returns the time since a peer last reported that it was confirmed, in milliseconds; `u64::MAX` if it never did.
    fn unconfirmed_ms(&self, ip: &str, now: u64) -> u64 {
        self.last_confirmed.get(ip).map_or(u64::MAX, |last_confirmed| now.saturating_sub(*last_confirmed))
    }
}
