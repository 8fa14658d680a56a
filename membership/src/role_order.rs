//! The order in which singleton roles fall to controllers.
//!
//! Every controller computes the same order from the same peers, so that they agree on a role's next owner without a vote. The
//! register of the role decides where their views differ.

use kernel::hashing;

use crate::MembershipView;

/// The role of polling the platform's list of engines for a zone. Its hash is part of the agreed order.
const POLLER_ROLE: &str = "list";

impl MembershipView {
    /// Returns all known controllers in the order in which a role of a zone falls to them: those of that zone first, and within
    /// each part by a hash of role and address, so that roles spread.
    pub fn preference_order(&self, zone: &str, role: &str) -> Vec<String> {
        let mut order: Vec<String> = self.controllers.keys().cloned().collect();
        if !order.contains(&self.own_ip) {
            order.push(self.own_ip.clone());
        }
        let role_hash = hashing::hash(role.as_bytes());
        order.sort_by_key(|ip| {
            let is_remote = self.zone_of(ip) != zone;
            (is_remote, hashing::combine(role_hash, hashing::hash(ip.as_bytes())))
        });
        order
    }

    /// Returns the first live controller in the order; the own one if there is no other.
    pub fn first_live(&self, zone: &str, role: &str, now: u64) -> String {
        let order = self.preference_order(zone, role);
        order.into_iter().find(|ip| self.is_live(ip, now)).unwrap_or_else(|| self.own_ip.clone())
    }

    /// Returns who acquires a role that is bound to no zone and has no owner: the first controller in the order that is
    /// confirmed. Only a controller that is itself confirmed may ask.
    pub fn first_confirmed(&self, role: &str, now: u64) -> Option<String> {
        self.preference_order("", role).into_iter().find(|ip| *ip == self.own_ip || self.confirms(ip, now))
    }

    /// Returns who polls the platform for a zone: the first live controller in the order that reaches the platform, or the first
    /// live one while none does.
    pub fn poller(&self, zone: &str, now: u64) -> String {
        let order = self.preference_order(zone, POLLER_ROLE);
        let live: Vec<String> = order.into_iter().filter(|ip| self.is_live(ip, now)).collect();
        let first = live.iter().find(|ip| self.reaches_platform(ip, now)).or(live.first());
        first.cloned().unwrap_or_else(|| self.own_ip.clone())
    }

    fn reaches_platform(&self, ip: &str, now: u64) -> bool {
        if ip == self.own_ip {
            return !self.platform_access.is_unreachable(now);
        }
        !self.reports.get(ip).is_some_and(|report| report.platform_unreachable)
    }
}
