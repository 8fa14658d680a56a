//! Requests in flight per engine, and engines about to switch between prefill and decode, across all controllers.

use std::collections::{BTreeMap, HashMap};

use crate::MembershipView;

impl MembershipView {
    /// Returns the requests in flight by engine id, summed over the routers with a lease at this controller.
    pub fn own_in_flight(&self) -> Vec<(String, u32)> {
        let mut totals: BTreeMap<&str, u32> = BTreeMap::new();
        for (id, in_flight) in self.routers.values().flat_map(|lease| &lease.in_flight) {
            *totals.entry(id).or_default() += in_flight;
        }
        totals.into_iter().map(|(id, in_flight)| (id.to_string(), in_flight)).collect()
    }

    /// Returns the requests in flight by engine id, summed over the routers of this controller and of all live peers.
    pub fn total_in_flight(&self, now: u64) -> HashMap<String, u32> {
        let mut totals: HashMap<String, u32> = self.own_in_flight().into_iter().collect();
        for (id, in_flight) in self.live_peers(now).flat_map(|peer| &peer.in_flight) {
            *totals.entry(id.clone()).or_default() += in_flight;
        }
        totals
    }

    /// Returns the ids of the engines that this controller is about to switch between prefill and decode.
    pub fn own_reassigning(&self, now: u64) -> Vec<String> {
        unexpired_ids(&self.reassigning, now).collect()
    }

    /// Returns the ids of the engines that any controller is about to switch between prefill and decode, starting with
    /// those of this controller.
    pub fn reassigning(&self, now: u64) -> Vec<String> {
        let mut ids = self.own_reassigning(now);
        ids.extend(self.controllers.values().flat_map(|peer| unexpired_ids(&peer.reassigning, now)));
        ids
    }
}

/// Returns the ids of the entries that have not expired at `now`.
fn unexpired_ids(reassigning: &[(String, u64)], now: u64) -> impl Iterator<Item = String> + '_ {
    reassigning.iter().filter(move |(_, expires_at)| *expires_at > now).map(|(id, _)| id.clone())
}
