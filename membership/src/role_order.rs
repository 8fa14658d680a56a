//! The order in which duties fall to controllers.

use kernel::hashing;

use crate::MembershipView;

impl MembershipView {
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
}
