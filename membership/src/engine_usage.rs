//! Requests under way at engines, and engines about to change their part.

use std::collections::{BTreeMap, HashMap};

use crate::MembershipView;

impl MembershipView {
    /// Requests under way at each engine, from the routers that hold a lease here.
    pub fn own_in_flight(&self) -> Vec<(String, u32)> {
        let mut sum: BTreeMap<&str, u32> = Default::default();
        for (id, in_flight) in self.routers.values().flat_map(|lease| &lease.in_flight) {
            *sum.entry(id).or_default() += in_flight;
        }
        sum.into_iter().map(|(id, in_flight)| (id.to_string(), in_flight)).collect()
    }

    /// The same from all routers.
    pub fn total_in_flight(&self, now: u64) -> HashMap<String, u32> {
        let mut sum: HashMap<String, u32> = self.own_in_flight().into_iter().collect();
        let live = self.controllers.values().filter(|peer| now < peer.last_seen + self.liveness_timeout_ms);
        for (id, in_flight) in live.flat_map(|peer| &peer.in_flight) {
            *sum.entry(id.clone()).or_default() += in_flight;
        }
        sum
    }

    /// Engines that this controller is about to order to change their part.
    pub fn own_reassigning(&self, now: u64) -> Vec<String> {
        self.reassigning.iter().filter(|(_, expires_at)| *expires_at > now).map(|(id, _)| id.clone()).collect()
    }

    /// The same from all controllers.
    pub fn reassigning(&self, now: u64) -> Vec<String> {
        let mut list = self.own_reassigning(now);
        let far = self.controllers.values().flat_map(|peer| &peer.reassigning);
        list.extend(far.filter(|(_, expires_at)| *expires_at > now).map(|(id, _)| id.clone()));
        list
    }
}
