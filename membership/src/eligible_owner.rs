//! Selection of the controllers that may own shards of a quota.

use crate::{MembershipView, Peer};

/// A controller that may own a shard of a quota.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EligibleOwner {
    /// IP address of the controller.
    pub ip: String,
    /// Zone of the controller.
    pub zone: String,
}

impl MembershipView {
    /// Returns the controllers that support `protocol_version`, are not shutting down and have been unavailable for
    /// less than `max_unavailable_ms`, sorted by address.
    ///
    /// This controller is included unless `self_shutting_down` is set.
    pub fn eligible_owners(
        &self,
        protocol_version: u64,
        max_unavailable_ms: u64,
        self_shutting_down: bool,
        now: u64,
    ) -> Vec<EligibleOwner> {
        let is_eligible = |ip: &str, peer: &Peer| {
            peer.protocol_version >= protocol_version
                && !peer.shutting_down
                && self.unavailable_ms(ip, now) < max_unavailable_ms
        };
        let peers = self.controllers.iter().filter(|(ip, peer)| **ip != self.own_ip && is_eligible(ip, peer));
        let mut owners: Vec<EligibleOwner> =
            peers.map(|(ip, peer)| EligibleOwner { ip: ip.clone(), zone: peer.zone.clone() }).collect();
        if !self_shutting_down {
            owners.push(EligibleOwner { ip: self.own_ip.clone(), zone: self.zone.clone() });
        }
        owners.sort();
        owners
    }
}

#[cfg(test)]
#[path = "eligible_owner_tests.rs"]
mod tests;
