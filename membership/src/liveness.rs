//! Which controllers are live, confirmed and available.
//!
//! *Live*: a heartbeat came within the timeout. *Confirmed*: it also reported within the timeout that a quorum had confirmed
//! its state. *Available*: confirmed as seen from here or from any live peer, so that a cut between two controllers alone makes
//! neither of them unavailable.

use crate::{MembershipView, Peer};

impl MembershipView {
    /// Returns whether a heartbeat of a controller came within the timeout. The own controller is always live.
    pub fn is_live(&self, ip: &str, now: u64) -> bool {
        ip == self.own_ip || self.controllers.get(ip).is_some_and(|peer| self.is_peer_live(peer, now))
    }

    /// Returns how long ago the last heartbeat of a controller came, in milliseconds; `u64::MAX` if none ever did.
    pub fn silent_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.own_ip {
            return 0;
        }
        self.controllers.get(ip).map_or(u64::MAX, |peer| now.saturating_sub(peer.last_seen))
    }

    /// Returns whether a controller is live and confirmed as seen from here. Peers are notified of it.
    pub fn confirms(&self, ip: &str, now: u64) -> bool {
        self.is_live(ip, now) && self.unconfirmed_ms(ip, now) < self.liveness_timeout_ms
    }

    /// Returns for how long a controller has been unable to carry out a role as far as is known, in milliseconds: for how long
    /// neither this controller nor a live peer has known it to be confirmed; `u64::MAX` if it never was.
    ///
    /// A cut between two controllers alone makes neither of them unavailable. One whose heartbeats come but that reaches no
    /// quorum is unavailable.
    pub fn unavailable_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.own_ip || self.is_confirmed_by_live_peer(ip, now) {
            return 0;
        }
        self.unconfirmed_ms(ip, now)
    }

    /// Returns the peers that are live.
    pub(crate) fn live_peers(&self, now: u64) -> impl Iterator<Item = &Peer> {
        self.controllers.values().filter(move |peer| self.is_peer_live(peer, now))
    }

    fn is_peer_live(&self, peer: &Peer, now: u64) -> bool {
        now < peer.last_seen + self.liveness_timeout_ms
    }

    /// A controller's own report does not count: it can't confirm itself.
    fn is_confirmed_by_live_peer(&self, ip: &str, now: u64) -> bool {
        let mut live = self.reports.iter().filter(|(peer, _)| peer.as_str() != ip && self.is_live(peer, now));
        live.any(|(_, report)| report.confirmations.iter().any(|confirmed| confirmed == ip))
    }

    /// Returns how long ago a peer last reported that it is confirmed, in milliseconds; `u64::MAX` if it never did.
    fn unconfirmed_ms(&self, ip: &str, now: u64) -> u64 {
        self.last_confirmed.get(ip).map_or(u64::MAX, |last_confirmed| now.saturating_sub(*last_confirmed))
    }
}
