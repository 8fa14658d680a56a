//! The order in which controllers are preferred as owners of singleton roles.
//!
//! Every controller computes the same order from the same peers, so that they agree on the next owner of a role without
//! a vote. Where their views differ, the register of the role decides.

use kernel::hashing;

use crate::MembershipView;

/// Name of the role that polls the platform for a zone's list of engines. All controllers must use the same name, since
/// its hash determines the order.
const POLLER_ROLE: &str = "list";

impl MembershipView {
    /// Returns all known controllers in order of preference for a role of a zone: those of that zone first, and within
    /// each group by a hash of role and address, so that roles spread over the controllers.
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

    /// Returns the first live controller in the preference order.
    pub fn first_live(&self, zone: &str, role: &str, now: u64) -> String {
        let order = self.preference_order(zone, role);
        order.into_iter().find(|ip| self.is_live(ip, now)).unwrap_or_else(|| self.own_ip.clone())
    }

    /// Returns the controller that should acquire a vacant role that is bound to no zone: the first confirmed one in
    /// the preference order. Call this only on a controller that is itself confirmed, since it counts itself as such.
    pub fn first_confirmed(&self, role: &str, now: u64) -> Option<String> {
        self.preference_order("", role).into_iter().find(|ip| *ip == self.own_ip || self.confirms(ip, now))
    }

    /// Returns the controller that polls the platform for a zone: the first live one in the preference order that
    /// reaches the platform, or the first live one if none does.
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
