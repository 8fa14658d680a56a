//! Leases of routers, and the frontend addresses of the routers that hold one.

use crate::MembershipView;

/// A router's lease at this controller, with what the router reported at the last renewal.
#[derive(Clone, Debug, Default)]
pub struct RouterLease {
    /// When the lease expires, in milliseconds of this controller's monotonic clock.
    pub expires_at: u64,
    /// Requests in flight of the router, by engine id.
    pub in_flight: Vec<(String, u32)>,
    /// Address at which clients reach the router; empty if it accepts no clients.
    pub frontend_address: String,
}

impl MembershipView {
    /// Renews the lease of a router. The expiry of a lease never moves back.
    pub fn renew_lease(
        &mut self,
        router: &str,
        expires_at: u64,
        in_flight: Vec<(String, u32)>,
        frontend_address: String,
    ) {
        let known_expires_at = self.routers.get(router).map_or(0, |known| known.expires_at);
        let expires_at = expires_at.max(known_expires_at);
        self.routers.insert(router.into(), RouterLease { expires_at, in_flight, frontend_address });
    }

    /// Removes routers whose lease has expired.
    pub fn remove_expired(&mut self, now: u64) {
        self.routers.retain(|_, lease| lease.expires_at > now);
    }

    /// Returns the number of routers with a lease at any controller, by which shared limits are divided.
    ///
    /// A controller that is not `confirmed` may be partitioned from the others and their routers. Until it is confirmed
    /// again, the result never drops; otherwise each side of the partition would use the whole limit.
    pub fn router_count(&mut self, now: u64, confirmed: bool) -> u32 {
        let recent_peers = self.controllers.values().filter(|peer| now < peer.last_seen + 2 * self.liveness_timeout_ms);
        let own_count = self.routers.values().filter(|lease| lease.expires_at > now).count() as u32;
        let count = own_count + recent_peers.map(|peer| peer.router_count).sum::<u32>();
        self.confirmed_router_count = if confirmed { count } else { self.confirmed_router_count.max(count) };
        self.confirmed_router_count
    }

    /// Returns the frontend addresses of the routers with a lease at this controller.
    pub fn own_frontend_addresses(&self) -> Vec<String> {
        let addresses = self.routers.values().map(|lease| lease.frontend_address.clone());
        addresses.filter(|address| !address.is_empty()).collect()
    }

    /// Returns the frontend addresses of those of these routers that hold a lease at this controller and accept clients.
    pub fn frontend_addresses_of(&self, nodes: &[String]) -> Vec<String> {
        let leases = nodes.iter().filter_map(|node| self.routers.get(node));
        leases.map(|lease| lease.frontend_address.clone()).filter(|address| !address.is_empty()).collect()
    }

    /// Returns the frontend address of one router, or `None` if no router is known. Consecutive values of `attempt`
    /// cycle through the routers.
    ///
    /// Routers with a lease at this controller are preferred, since they are near; routers of live peers are used only
    /// if there are none.
    pub fn next_frontend(&self, now: u64, attempt: usize) -> Option<String> {
        let mut addresses = self.own_frontend_addresses();
        if addresses.is_empty() {
            addresses = self.live_peers(now).flat_map(|peer| peer.frontend_addresses.clone()).collect();
        }
        let index = attempt.checked_rem(addresses.len())?;
        Some(addresses.swap_remove(index))
    }
}
