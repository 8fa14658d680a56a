//! Leases of routers.

use crate::MembershipView;

/// A router's lease, with what it told when it renewed it.
#[derive(Clone, Debug, Default)]
pub struct RouterLease {
    pub expires_at: u64,
    pub in_flight: Vec<(String, u32)>,
    pub frontend_address: String,
}

impl MembershipView {
    pub fn renew_lease(&mut self, router: &str, expires_at: u64, in_flight: Vec<(String, u32)>, door: String) {
        let held = self.routers.get(router).map_or(0, |held| held.expires_at);
        self.routers
            .insert(router.into(), RouterLease { expires_at: expires_at.max(held), in_flight, frontend_address: door });
    }

    /// Forgets routers whose lease has lapsed.
    pub fn remove_expired(&mut self, now: u64) {
        self.routers.retain(|_, lease| lease.expires_at > now);
    }

    /// How many routers hold a lease anywhere, by which shared bounds are cut. A controller that is not sure may
    /// be cut off from the others and their routers: it never tells less than when it was last sure, or
    /// each side of a cut would take the whole of a bound.
    pub fn router_count(&mut self, now: u64, confirmed: bool) -> u32 {
        let far = self.controllers.values().filter(|peer| now < peer.last_seen + 2 * self.liveness_timeout_ms);
        let own = self.routers.values().filter(|lease| lease.expires_at > now).count() as u32;
        let count = own + far.map(|peer| peer.router_count).sum::<u32>();
        self.confirmed_router_count = if confirmed { count } else { self.confirmed_router_count.max(count) };
        self.confirmed_router_count
    }

    /// Where clients reach the routers that hold a lease here.
    pub fn own_frontend_addresses(&self) -> Vec<String> {
        self.routers.values().map(|lease| lease.frontend_address.clone()).filter(|door| !door.is_empty()).collect()
    }

    /// A router to send to, in turn: own ones first, as they are near.
    pub fn next_frontend(&self, now: u64, turn: usize) -> Option<String> {
        let mut list = self.own_frontend_addresses();
        if list.is_empty() {
            let live = self.controllers.values().filter(|peer| now < peer.last_seen + self.liveness_timeout_ms);
            list = live.flat_map(|peer| peer.frontend_addresses.clone()).collect();
        }
        let at = turn.checked_rem(list.len())?;
        Some(list.swap_remove(at))
    }
}
