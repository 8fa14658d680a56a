//! The limit on stale weights as one router holds it: pure, time comes in with every call.
//!
//! A raised floor or an added route binds at once; a lowered floor or a freed route only once every router
//! can know of it. What is bound is sent only under a lease: one that lapsed refuses it.

use protocol::message::StalenessLimit;

/// How long a lease lasts from the sending of the call that renewed it. Invariant: shorter than the lease
/// that a controller counts for its router.
pub const LEASE_MS: u64 = 1200;
/// How long after it is heard of a loosening takes effect: by then no router is bound by more that could
/// not know of it.
pub const EASE_MS: u64 = 2700;

/// What holds for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    Free,
    /// Weights of this version or newer.
    From(u64),
    /// The lease has lapsed: what holds now is not known.
    Lapsed,
}

/// Invariants: `rule.version` never goes back; `floor` and `routes` are in force, and hold at least what the
/// newest rule asks for.
#[derive(Clone, Debug)]
struct Held {
    rule: StalenessLimit,
    service: u32,
    floor: u64,
    routes: Vec<String>,
    ease_at: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Floors {
    list: Vec<Held>,
    lease_until: u64,
}

impl Floors {
    /// True when the rule is newer than what was held.
    pub fn take(&mut self, rule: &StalenessLimit, service: u32, now: u64) -> bool {
        let new = Held {
            rule: rule.clone(),
            service,
            floor: rule.floor(),
            routes: if rule.removed { Vec::new() } else { rule.routes.clone() },
            ease_at: now,
        };
        let Some(held) = self.list.iter_mut().find(|held| held.rule.key() == rule.key()) else {
            self.list.push(new);
            return true;
        };
        if rule.version <= held.rule.version {
            return false;
        }
        held.ease(now);
        let looser = new.floor < held.floor || held.routes.iter().any(|route| !new.routes.contains(route));
        held.rule = new.rule;
        if !looser {
            (held.floor, held.routes, held.ease_at) = (new.floor, new.routes, now);
            return true;
        }
        held.floor = held.floor.max(new.floor);
        for route in new.routes {
            if !held.routes.contains(&route) {
                held.routes.push(route);
            }
        }
        held.ease_at = now + EASE_MS;
        true
    }

    /// A controller that is sure answered a call sent at `sent`, which told the versions held here as current.
    pub fn renew(&mut self, sent: u64) {
        self.lease_until = self.lease_until.max(sent + LEASE_MS);
    }

    /// Was the control state confirmed lately?
    pub fn is_confirmed(&self, now: u64) -> bool {
        now < self.lease_until
    }

    /// Looked at immediately before each send.
    pub fn limit(&self, service: u32, model: &str, route: &str, now: u64) -> Limit {
        let mut limit = Limit::Free;
        for held in self.list.iter().filter(|held| held.service == service && held.rule.model == model) {
            let (floor, routes) = held.force(now);
            if !routes.iter().any(|name| name == route) {
                continue;
            }
            limit = if now < self.lease_until { Limit::From(floor) } else { Limit::Lapsed };
        }
        limit
    }

    /// The versions held, as told to controllers.
    pub fn versions(&self) -> Vec<(String, u64)> {
        self.list.iter().map(|held| (held.rule.key(), held.rule.version)).collect()
    }
}

impl Held {
    fn force(&self, now: u64) -> (u64, &[String]) {
        if now < self.ease_at {
            return (self.floor, &self.routes);
        }
        let routes: &[String] = if self.rule.removed { &[] } else { &self.rule.routes };
        (self.rule.floor(), routes)
    }

    fn ease(&mut self, now: u64) {
        let (floor, routes) = self.force(now);
        (self.floor, self.routes) = (floor, routes.to_vec());
    }
}

#[cfg(test)]
#[path = "floor_tests.rs"]
mod tests;
