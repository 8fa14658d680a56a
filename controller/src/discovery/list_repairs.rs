//! Which controller sends a peer the endpoint lists that the peer lacks.
//!
//! A peer tells its versions to all controllers in each heartbeat, and most of them know what it lacks. If all sent it, one
//! lost message would cost the peer as many copies as there are controllers, and a link that is full would never empty. So two
//! of them send at once; with each further heartbeat that shows the peer behind, twice as many do.

use std::collections::BTreeMap;

use kernel::hashing;

/// How many controllers repair a peer after its first heartbeat that shows it behind.
const FIRST_REPAIRERS: u32 = 2;
/// From this count on all controllers repair.
const MAX_DOUBLINGS: u32 = 16;

/// By peer: how many of its heartbeats in a row have shown it behind.
#[derive(Default)]
pub struct ListRepairs {
    behind: BTreeMap<String, u32>,
}

impl ListRepairs {
    /// Notes that a heartbeat showed a peer up to date.
    pub fn record_current(&mut self, peer: &str) {
        self.behind.remove(peer);
    }

    /// Notes that a heartbeat showed a peer behind, and returns whether `own` is to send what it lacks. `live`: all
    /// controllers that live, `own` and the peer with them or not.
    pub fn record_behind(&mut self, own: &str, peer: &str, live: &[String]) -> bool {
        let heartbeats = self.behind.entry(peer.into()).or_default();
        let repairers = FIRST_REPAIRERS << (*heartbeats).min(MAX_DOUBLINGS);
        *heartbeats = heartbeats.saturating_add(1);
        rank(own, peer, live) < repairers
    }
}

/// Returns how many of the others stand before a controller in an order of its own for each peer.
fn rank(own: &str, peer: &str, live: &[String]) -> u32 {
    let place = |ip: &str| hashing::combine(hashing::hash(peer.as_bytes()), hashing::hash(ip.as_bytes()));
    let others = live.iter().filter(|ip| *ip != own && *ip != peer);
    others.filter(|ip| place(ip) < place(own)).count() as u32
}

#[cfg(test)]
#[path = "list_repairs_tests.rs"]
mod tests;
