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
pub const RELAXATION_DELAY_MS: u64 = 2700;

/// What holds for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessBound {
    Unbounded,
    /// Weights of this version or newer.
    AtLeast(u64),
    /// The lease has lapsed: what holds now is not known.
    LeaseExpired,
}

/// Invariants: `limit.version` never goes back; `floor` and `routes` are in force, and hold at least what the
/// newest limit asks for.
#[derive(Clone, Debug)]
struct EnforcedLimit {
    limit: StalenessLimit,
    service: u32,
    min_version: u64,
    routes: Vec<String>,
    relaxes_at: u64,
}

#[derive(Clone, Debug, Default)]
pub struct StalenessBounds {
    limits: Vec<EnforcedLimit>,
    lease_until: u64,
}

impl StalenessBounds {
    /// True when the limit is newer than what was held.
    pub fn update(&mut self, limit: &StalenessLimit, service: u32, now: u64) -> bool {
        let new = EnforcedLimit {
            limit: limit.clone(),
            service,
            min_version: limit.floor(),
            routes: if limit.removed { Vec::new() } else { limit.routes.clone() },
            relaxes_at: now,
        };
        let Some(held) = self.limits.iter_mut().find(|held| held.limit.key() == limit.key()) else {
            self.limits.push(new);
            return true;
        };
        if limit.version <= held.limit.version {
            return false;
        }
        held.apply_relaxation(now);
        let looser = new.min_version < held.min_version || held.routes.iter().any(|route| !new.routes.contains(route));
        held.limit = new.limit;
        if !looser {
            (held.min_version, held.routes, held.relaxes_at) = (new.min_version, new.routes, now);
            return true;
        }
        held.min_version = held.min_version.max(new.min_version);
        for route in new.routes {
            if !held.routes.contains(&route) {
                held.routes.push(route);
            }
        }
        held.relaxes_at = now + RELAXATION_DELAY_MS;
        true
    }

    /// A controller that is sure answered a call sent at `sent`, which told the versions held here as current.
    pub fn renew_lease(&mut self, sent: u64) {
        self.lease_until = self.lease_until.max(sent + LEASE_MS);
    }

    /// Was the control state confirmed lately?
    pub fn is_confirmed(&self, now: u64) -> bool {
        now < self.lease_until
    }

    /// Looked at immediately before each send.
    pub fn bound_for(&self, service: u32, model: &str, route: &str, now: u64) -> StalenessBound {
        let mut bound = StalenessBound::Unbounded;
        for held in self.limits.iter().filter(|held| held.service == service && held.limit.model == model) {
            let (min_version, routes) = held.in_force(now);
            if !routes.iter().any(|name| name == route) {
                continue;
            }
            bound = if now < self.lease_until {
                StalenessBound::AtLeast(min_version)
            } else {
                StalenessBound::LeaseExpired
            };
        }
        bound
    }

    /// The versions held, as told to controllers.
    pub fn versions(&self) -> Vec<(String, u64)> {
        self.limits.iter().map(|held| (held.limit.key(), held.limit.version)).collect()
    }
}

impl EnforcedLimit {
    fn in_force(&self, now: u64) -> (u64, &[String]) {
        if now < self.relaxes_at {
            return (self.min_version, &self.routes);
        }
        let routes: &[String] = if self.limit.removed { &[] } else { &self.limit.routes };
        (self.limit.floor(), routes)
    }

    fn apply_relaxation(&mut self, now: u64) {
        let (min_version, routes) = self.in_force(now);
        (self.min_version, self.routes) = (min_version, routes.to_vec());
    }
}

#[cfg(test)]
#[path = "staleness_bound_tests.rs"]
mod tests;
