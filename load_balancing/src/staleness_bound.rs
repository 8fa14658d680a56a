//! The staleness limits as one router enforces them (`docs/staleness-limits.md`).
//!
//! A raised minimum version or an added route takes effect at once; a lowered minimum or a removed route only once
//! every router can have learned of it. Requests under a limit are sent only while the router holds a lease. After the
//! lease has expired they are refused, because a raise may have been acknowledged without this router's knowledge.

use protocol::message::StalenessLimit;

/// The duration of a lease, in milliseconds, from the sending of the call that renewed it. Invariant: shorter than the
/// lease that a controller counts for its router (1600 ms), so that a controller never considers a lease expired that
/// is still valid.
pub const LEASE_MS: u64 = 1200;
/// The delay before a relaxation takes effect, in milliseconds, from when the router learns of it. A controller may
/// treat the earlier state as confirmed for up to 1100 ms and then renew a lease for `LEASE_MS`; with 200 ms for clock
/// error that makes 2500 ms, after which every router with a lease has been able to learn of the relaxation. The
/// remaining 200 ms are a margin.
const RELAXATION_DELAY_MS: u64 = 2700;

/// The weight versions that one request may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalenessBound {
    /// Any version: no limit applies to the route.
    Unbounded,
    /// This version or a newer one.
    AtLeast(u64),
    /// The lease has expired: the current limit is unknown, so the request must not be sent.
    LeaseExpired,
}

/// A limit and the part of it that is in force.
///
/// Invariants: `limit.version` never decreases; until `relaxes_at`, `min_version` and `routes` are in force and are at
/// least as strict as the newest limit; from then on the newest limit is in force.
#[derive(Clone, Debug)]
struct EnforcedLimit {
    limit: StalenessLimit,
    service: u32,
    min_version: u64,
    routes: Vec<String>,
    /// The time at which the relaxation takes effect, in milliseconds.
    relaxes_at: u64,
}

/// All staleness limits that a router holds, and its lease.
#[derive(Clone, Debug, Default)]
pub struct StalenessBounds {
    limits: Vec<EnforcedLimit>,
    /// The end of the lease, in milliseconds.
    lease_until: u64,
}

impl StalenessBounds {
    /// Applies a limit on a service, at `now` in milliseconds. Returns whether it is newer than the current one.
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

    /// Renews the lease after a controller with confirmed state answered a call sent at `sent`, and so confirmed that
    /// the versions held here are current.
    pub fn renew_lease(&mut self, sent: u64) {
        self.lease_until = self.lease_until.max(sent + LEASE_MS);
    }

    /// Returns whether the lease is valid, that is, whether the control state was confirmed recently.
    pub fn is_confirmed(&self, now: u64) -> bool {
        now < self.lease_until
    }

    /// Returns the bound on a request. Call it immediately before each send.
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

    /// Replaces the limit with a newer one. Whatever the newer one relaxes stays in force for `RELAXATION_DELAY_MS`.
    fn replace(&mut self, new: EnforcedLimit, now: u64) {
        self.apply_relaxation(now);
        let removes_route = self.routes.iter().any(|route| !new.routes.contains(route));
        let relaxes = new.min_version < self.min_version || removes_route;
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

    /// Returns the minimum version in force and the routes that it applies to.
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
