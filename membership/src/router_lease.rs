//! Leases of routers, and where clients reach the routers that hold one.

use crate::MembershipView;

/// A router's lease at this controller, with what the router reported when it last renewed it.
#[derive(Clone, Debug, Default)]
pub struct RouterLease {
    /// When the lease ends, in milliseconds of the own steady clock.
    pub expires_at: u64,
    /// Requests of the router in flight, by engine id.
    pub in_flight: Vec<(String, u32)>,
    /// Where clients reach the router; empty if they don't.
    pub frontend_address: String,
}

impl MembershipView {
    /// Renews the lease of a router. The end of a lease never goes back.
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

    /// Forgets routers whose lease has expired.
    pub fn remove_expired(&mut self, now: u64) {
        self.routers.retain(|_, lease| lease.expires_at > now);
    }

    /// Returns how many routers hold a lease at any controller; shared limits are divided by it.
    ///
    /// A controller that is not `confirmed` may be cut off from the others and their routers. Until it is confirmed again it
    /// never returns less than before, or each side of a cut would take the whole of a limit.
    pub fn router_count(&mut self, now: u64, confirmed: bool) -> u32 {
        let remembered = self.controllers.values().filter(|peer| now < peer.last_seen + 2 * self.liveness_timeout_ms);
        let own_count = self.routers.values().filter(|lease| lease.expires_at > now).count() as u32;
        let count = own_count + remembered.map(|peer| peer.router_count).sum::<u32>();
        self.confirmed_router_count = if confirmed { count } else { self.confirmed_router_count.max(count) };
        self.confirmed_router_count
    }

    /// Returns where clients reach the routers with a lease at this controller.
    pub fn own_frontend_addresses(&self) -> Vec<String> {
        let addresses = self.routers.values().map(|lease| lease.frontend_address.clone());
        addresses.filter(|address| !address.is_empty()).collect()
    }

    /// Returns the frontend address of one router, a different one for each `attempt` in a row.
    ///
    /// Routers with a lease at this controller come first, as they are near. None if no router is known.
    pub fn next_frontend(&self, now: u64, attempt: usize) -> Option<String> {
        let mut addresses = self.own_frontend_addresses();
        if addresses.is_empty() {
            addresses = self.live_peers(now).flat_map(|peer| peer.frontend_addresses.clone()).collect();
        }
        let index = attempt.checked_rem(addresses.len())?;
        Some(addresses.swap_remove(index))
    }
}
