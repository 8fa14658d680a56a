//! Who is there: leases of controllers and routers, and the order in which duties fall to them. Pure:
//! time comes in with every call.

use std::collections::{BTreeMap, HashMap};

use kernel::hashing;

pub mod eligible_owner;
pub mod platform_access;
pub mod singleton_role;

#[derive(Clone, Debug, Default)]
pub struct Peer {
    pub zone: String,
    pub incarnation: u64,
    pub last_seen: u64,
    pub eligible: bool,
    pub router_count: u32,
    /// The newest version of messages and bodies that it reads.
    pub protocol_version: u64,
    /// It said that its process is about to end.
    pub shutting_down: bool,
    /// Requests of its routers under way, by engine.
    pub in_flight: Vec<(String, u32)>,
    pub reassigning: Vec<(String, u64)>,
    /// Where clients reach its routers.
    pub frontend_addresses: Vec<String>,
}

/// A router's lease, with what it told when it renewed it.
#[derive(Clone, Debug, Default)]
pub struct RouterLease {
    pub expires_at: u64,
    pub in_flight: Vec<(String, u32)>,
    pub frontend_address: String,
}

/// What a peer last told of others.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// It confirmed its state at a majority a moment ago.
    pub confirmed: bool,
    /// Controllers that it hears and that are sure.
    pub confirmations: Vec<String>,
    /// It gets no answer from the platform.
    pub platform_unreachable: bool,
}

/// Invariants: `heard` never goes back; a peer is live while it was heard within `span` ms; a
/// router holds its lease while `until` lies ahead.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    pub own_ip: String,
    pub zone: String,
    pub liveness_timeout_ms: u64,
    pub controllers: BTreeMap<String, Peer>,
    pub routers: BTreeMap<String, RouterLease>,
    /// Engines about to change their part, by own order, and until when.
    pub reassigning: Vec<(String, u64)>,
    /// Routers as counted when last sure, or more that were seen since.
    confirmed_router_count: u32,
    /// By peer: when it was last heard to be sure.
    last_confirmed: BTreeMap<String, u64>,
    /// By peer: what it last told of others.
    pub reports: BTreeMap<String, PeerReport>,
    /// Own access to the platform.
    pub platform_access: platform_access::PlatformAccess,
}

impl MembershipView {
    pub fn new(own_ip: &str, zone: &str, liveness_timeout_ms: u64) -> Self {
        MembershipView { own_ip: own_ip.into(), zone: zone.into(), liveness_timeout_ms, ..MembershipView::default() }
    }

    pub fn observe(&mut self, ip: &str, peer: Peer) {
        let held = self.controllers.get(ip).map_or(0, |held| held.last_seen);
        let last_seen = held.max(peer.last_seen);
        self.controllers.insert(ip.into(), Peer { last_seen, ..peer });
    }

    pub fn renew_lease(&mut self, router: &str, expires_at: u64, in_flight: Vec<(String, u32)>, door: String) {
        let held = self.routers.get(router).map_or(0, |held| held.expires_at);
        self.routers
            .insert(router.into(), RouterLease { expires_at: expires_at.max(held), in_flight, frontend_address: door });
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

    /// Forgets routers whose lease has lapsed.
    pub fn remove_expired(&mut self, now: u64) {
        self.routers.retain(|_, lease| lease.expires_at > now);
    }

    /// Was a controller heard within the span?
    pub fn is_live(&self, ip: &str, now: u64) -> bool {
        ip == self.own_ip
            || self.controllers.get(ip).is_some_and(|peer| now < peer.last_seen + self.liveness_timeout_ms)
    }

    /// How long a peer has been silent; never heard counts as for ever.
    pub fn silent_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.own_ip {
            return 0;
        }
        self.controllers.get(ip).map_or(u64::MAX, |peer| now.saturating_sub(peer.last_seen))
    }

    /// A peer told of others.
    pub fn record_report(&mut self, peer: &str, report: PeerReport, now: u64) {
        if report.confirmed {
            self.last_confirmed.insert(peer.into(), now);
        }
        self.reports.insert(peer.into(), report);
    }

    /// How long a peer has not been heard to be sure; never heard counts as for ever.
    fn unconfirmed_ms(&self, ip: &str, now: u64) -> u64 {
        self.last_confirmed.get(ip).map_or(u64::MAX, |last_seen| now.saturating_sub(*last_seen))
    }

    /// Is a controller heard here, and sure? Others are told so.
    pub fn confirms(&self, ip: &str, now: u64) -> bool {
        self.is_live(ip, now) && self.unconfirmed_ms(ip, now) < self.liveness_timeout_ms
    }

    /// How long a controller has been unable to do a duty, as far as is known: not heard to be sure, here or
    /// by any live peer. A cut between two controllers alone makes neither of them absent, and one that is
    /// heard but reaches no majority is.
    pub fn unavailable_ms(&self, ip: &str, now: u64) -> u64 {
        if ip == self.own_ip {
            return 0;
        }
        let mut live = self.reports.iter().filter(|(peer, _)| peer.as_str() != ip && self.is_live(peer, now));
        if live.any(|(_, report)| report.confirmations.iter().any(|vouched| vouched == ip)) {
            return 0;
        }
        self.unconfirmed_ms(ip, now)
    }

    /// Who takes a duty that is free: the first in the order that is heard and sure, asked by one that is
    /// sure itself.
    pub fn first_confirmed(&self, duty: &str, now: u64) -> Option<String> {
        self.preference_order("", duty).into_iter().find(|ip| *ip == self.own_ip || self.confirms(ip, now))
    }

    /// Who polls the platform for a zone: the first live controller in the order that reaches the platform,
    /// or the first live one while none does.
    pub fn poller(&self, zone: &str, now: u64) -> String {
        let reaches = |ip: &String| match *ip == self.own_ip {
            true => !self.platform_access.is_unreachable(now),
            false => !self.reports.get(ip).is_some_and(|report| report.platform_unreachable),
        };
        let live: Vec<String> =
            self.preference_order(zone, "list").into_iter().filter(|ip| self.is_live(ip, now)).collect();
        let first = live.iter().find(|ip| reaches(ip)).or(live.first());
        first.cloned().unwrap_or_else(|| self.own_ip.clone())
    }

    /// The zone of a controller; empty while it is not known.
    pub fn zone_of(&self, ip: &str) -> &str {
        if ip == self.own_ip {
            return &self.zone;
        }
        self.controllers.get(ip).map_or("", |peer| peer.zone.as_str())
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

    /// The agreed order of controllers for a duty bound to a zone: that zone's own first, the rest by
    /// a hash of duty and address, so that duties spread.
    pub fn preference_order(&self, zone: &str, duty: &str) -> Vec<String> {
        let mut list: Vec<String> = self.controllers.keys().cloned().collect();
        if !list.contains(&self.own_ip) {
            list.push(self.own_ip.clone());
        }
        list.sort_by_key(|ip| {
            let far = self.zone_of(ip) != zone;
            (far, hashing::combine(hashing::hash(duty.as_bytes()), hashing::hash(ip.as_bytes())))
        });
        list
    }

    /// The first live one in the order.
    pub fn first_live(&self, zone: &str, duty: &str, now: u64) -> String {
        let order = self.preference_order(zone, duty);
        order.into_iter().find(|ip| self.is_live(ip, now)).unwrap_or_else(|| self.own_ip.clone())
    }
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
