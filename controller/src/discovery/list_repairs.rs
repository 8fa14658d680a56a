//! Selects the controllers that send a peer the endpoint lists that it lacks.
//!
//! Each heartbeat of a peer tells all controllers its list versions, and most of them could send the missing lists. If
//! all did, one lost message would bring the peer as many copies as there are controllers, and a saturated link would
//! never recover. So two controllers send at first, and their number doubles with each further heartbeat that shows the
//! peer behind.

use std::collections::BTreeMap;

use kernel::hashing;

/// The number of controllers that send lists after the first heartbeat that shows a peer behind.
const INITIAL_REPAIRERS: u32 = 2;
/// The number of doublings after which it no longer grows; all controllers send by then.
const MAX_DOUBLINGS: u32 = 16;

/// Counts, for each peer, the consecutive heartbeats that showed it behind.
#[derive(Default)]
pub struct ListRepairs {
    behind: BTreeMap<String, u32>,
}

impl ListRepairs {
    /// Records that a heartbeat showed a peer up to date.
    pub fn record_current(&mut self, peer: &str) {
        self.behind.remove(peer);
    }

    /// Records that a heartbeat showed a peer behind, and returns whether the controller `own` should send the missing
    /// lists. `live` lists the live controllers, with or without `own` and the peer.
    pub fn record_behind(&mut self, own: &str, peer: &str, live: &[String]) -> bool {
        let heartbeats = self.behind.entry(peer.into()).or_default();
        let repairers = INITIAL_REPAIRERS << (*heartbeats).min(MAX_DOUBLINGS);
        *heartbeats = heartbeats.saturating_add(1);
        rank(own, peer, live) < repairers
    }
}

/// Returns how many other live controllers precede `own` in an order that is derived from hashes and differs by peer.
fn rank(own: &str, peer: &str, live: &[String]) -> u32 {
    let position = |ip: &str| hashing::combine(hashing::hash(peer.as_bytes()), hashing::hash(ip.as_bytes()));
    let others = live.iter().filter(|ip| *ip != own && *ip != peer);
    others.filter(|ip| position(ip) < position(own)).count() as u32
}

#[cfg(test)]
#[path = "list_repairs_tests.rs"]
mod tests;
