//! The limits on stale weights as one router enforces them (`docs/staleness-limits.md`).
//!
//! A raised minimum version or an added route binds at once; a lowered minimum or a freed route only once every router can
//! know of it. Bound requests are sent only under a lease: one that lapsed refuses them, since then a raise may have been
//! acknowledged that this router has not heard of.

use protocol::message::StalenessLimit;

/// How long a lease lasts from the sending of the call that renewed it, in milliseconds. Invariant: shorter than the lease
/// that a controller counts for its router (1600 ms), so that a controller never takes a lease for lapsed that is not.
pub const LEASE_MS: u64 = 1200;
/// How long after it is heard of a relaxation takes effect, in milliseconds. A controller may be sure of the state before
/// for 1100 ms and then renew a lease for `LEASE_MS`; with 200 ms for clocks that is 2500 ms, after which no router is
/// bound by more that could not know of the relaxation. 200 ms more stand beside it.
const RELAXATION_DELAY_MS: u64 = 2700;

/// The versions that one request may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessBound {
    /// Any version: no limit binds the route.
    Unbounded,
    /// This version or a newer one.
    AtLeast(u64),
    /// The lease has lapsed: what holds now is not known, so the request must not be sent.
    LeaseExpired,
}

/// A limit and what of it is in force.
///
/// Invariants: `limit.version` never goes back; until `relaxes_at`, `min_version` and `routes` are in force and bind at
/// least what the newest limit asks for; from then on the newest limit is in force.
#[derive(Clone, Debug)]
struct EnforcedLimit {
    limit: StalenessLimit,
    service: u32,
    min_version: u64,
    routes: Vec<String>,
    /// In milliseconds.
    relaxes_at: u64,
}

/// All limits that a router holds, and its lease.
#[derive(Clone, Debug, Default)]
pub struct StalenessBounds {
    limits: Vec<EnforcedLimit>,
    /// In milliseconds.
    lease_until: u64,
}

impl StalenessBounds {
    /// Takes over a limit on a service, at `now` in milliseconds. Returns whether it is newer than the current one.
    pub fn update(&mut self, limit: &StalenessLimit, service: u32, now: u64) -> bool {
        let new = EnforcedLimit::new(limit, service, now);
        let Some(current) = self.limits.iter_mut().find(|current| current.limit.key() == limit.key()) else {
            self.limits.push(new);
            return true;
        };
        if limit.version <= current.limit.version {
            return false;
        }
        current.replace(new, now);
        true
    }

    /// Renews the lease: a controller that is sure answered a call sent at `sent`, which listed the versions held here as
    /// current.
    pub fn renew_lease(&mut self, sent: u64) {
        self.lease_until = self.lease_until.max(sent + LEASE_MS);
    }

    /// Returns whether the control state was confirmed within the lease.
    pub fn is_confirmed(&self, now: u64) -> bool {
        now < self.lease_until
    }

    /// Returns the bound on a request, to be asked immediately before each send.
    pub fn bound_for(&self, service: u32, model: &str, route: &str, now: u64) -> StalenessBound {
        let mut bound = StalenessBound::Unbounded;
        for current in self.limits.iter().filter(|current| current.service == service && current.limit.model == model) {
            let (min_version, routes) = current.in_force(now);
            if !routes.iter().any(|name| name == route) {
                continue;
            }
            bound = match self.is_confirmed(now) {
                true => StalenessBound::AtLeast(min_version),
                false => StalenessBound::LeaseExpired,
            };
        }
        bound
    }

    /// Returns the keys and versions of the limits held, as reported to controllers.
    pub fn versions(&self) -> Vec<(String, u64)> {
        self.limits.iter().map(|current| (current.limit.key(), current.limit.version)).collect()
    }
}

impl EnforcedLimit {
    fn new(limit: &StalenessLimit, service: u32, now: u64) -> EnforcedLimit {
        EnforcedLimit {
            limit: limit.clone(),
            service,
            min_version: limit.floor(),
            routes: if limit.removed { Vec::new() } else { limit.routes.clone() },
            relaxes_at: now,
        }
    }

    /// Replaces the limit by a newer one: what it relaxes stays in force for `RELAXATION_DELAY_MS`.
    fn replace(&mut self, new: EnforcedLimit, now: u64) {
        self.apply_relaxation(now);
        let frees_route = self.routes.iter().any(|route| !new.routes.contains(route));
        let relaxes = new.min_version < self.min_version || frees_route;
        self.limit = new.limit;
        if !relaxes {
            (self.min_version, self.routes, self.relaxes_at) = (new.min_version, new.routes, now);
            return;
        }
        self.min_version = self.min_version.max(new.min_version);
        for route in new.routes {
            if !self.routes.contains(&route) {
                self.routes.push(route);
            }
        }
        self.relaxes_at = now + RELAXATION_DELAY_MS;
    }

    /// Returns the minimum version in force and the routes that it binds.
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
