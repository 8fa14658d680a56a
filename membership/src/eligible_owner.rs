//! Which controllers may hold a share of what all of them hold together.

use crate::{MembershipView, Peer};

/// A controller and its zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EligibleOwner {
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
}

impl MembershipView {
    /// The controllers that read messages of this version, are not about to end, and are not known to have been unconfirmed for
    /// so long. The own one is told by the caller: it counts unless it is about to end.
    pub fn eligible_owners(
        &self,
        protocol_version: u64,
        unavailable_ms: u64,
        self_shutting_down: bool,
        now: u64,
    ) -> Vec<EligibleOwner> {
        let is_eligible = |peer: &Peer| peer.protocol_version >= protocol_version && !peer.shutting_down;
        let peers = self.controllers.iter().filter(|(ip, peer)| **ip != self.own_ip && is_eligible(peer));
        let present = peers.filter(|(ip, _)| self.unavailable_ms(ip, now) < unavailable_ms);
        let mut list: Vec<EligibleOwner> =
            present.map(|(ip, peer)| EligibleOwner { ip: ip.clone(), zone: peer.zone.clone() }).collect();
        if !self_shutting_down {
            list.push(EligibleOwner { ip: self.own_ip.clone(), zone: self.zone.clone() });
        }
        list.sort();
        list
    }
}

#[cfg(test)]
#[path = "eligible_owner_tests.rs"]
mod tests;
