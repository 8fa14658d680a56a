//! Which controllers are live, confirmed and available.

use crate::MembershipView;

impl MembershipView {
    /// Was a controller heard within the span?
    pub fn is_live(&self, ip: &str, now: u64) -> bool {
        ip == self.own_ip
            || self.controllers.get(ip).is_some_and(|peer| now < peer.last_seen + self.liveness_timeout_ms)
    }

    /// How long a peer has been silent; never heard counts as for ever.
    pub fn silent_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.own_ip {
            return 0;
        }
        self.controllers.get(ip).map_or(u64::MAX, |peer| now.saturating_sub(peer.last_seen))
    }

    /// How long a peer has not been heard to be sure; never heard counts as for ever.
    fn unconfirmed_ms(&self, ip: &str, now: u64) -> u64 {
        self.last_confirmed.get(ip).map_or(u64::MAX, |last_seen| now.saturating_sub(*last_seen))
    }

    /// Is a controller heard here, and sure? Others are told so.
    pub fn confirms(&self, ip: &str, now: u64) -> bool {
        self.is_live(ip, now) && self.unconfirmed_ms(ip, now) < self.liveness_timeout_ms
    }

    /// How long a controller has been unable to do a duty, as far as is known: not heard to be sure, here or
    /// by any live peer. A cut between two controllers alone makes neither of them absent, and one that is
    /// heard but reaches no majority is.
    pub fn unavailable_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.own_ip {
            return 0;
        }
        let mut live = self.reports.iter().filter(|(peer, _)| peer.as_str() != ip && self.is_live(peer, now));
        if live.any(|(_, report)| report.confirmations.iter().any(|vouched| vouched == ip)) {
            return 0;
        }
        self.unconfirmed_ms(ip, now)
    }
}
