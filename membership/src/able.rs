//! Which controllers may hold a share of what all of them hold together.

use crate::{Peer, Roster};

/// A controller and its zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Able {
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
}

impl Roster {
    /// The controllers that read messages of this version, are not about to end, and are not known to have been unconfirmed for
    /// so long. The own one is told by the caller: it counts unless it is about to end.
    pub fn able(&self, reads: u64, absent_ms: u64, self_leaving: bool, now: u64) -> Vec<Able> {
        let fit = |peer: &Peer| peer.reads >= reads && !peer.leaving;
        let peers = self.controllers.iter().filter(|(ip, peer)| **ip != self.me && fit(peer));
        let present = peers.filter(|(ip, _)| self.absent_ms(ip, now) < absent_ms);
        let mut list: Vec<Able> = present.map(|(ip, peer)| Able { ip: ip.clone(), zone: peer.zone.clone() }).collect();
        if !self_leaving {
            list.push(Able { ip: self.me.clone(), zone: self.zone.clone() });
        }
        list.sort();
        list
    }
}

#[cfg(test)]
#[path = "able_tests.rs"]
mod tests;
