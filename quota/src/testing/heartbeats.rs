//! What controllers know of one another, by the product's own membership view, and what routers learn of it.

use std::iter;

use membership::{Peer, PeerReport};

use super::{Fleet, Variant, CONFIRMATION_MS, HEARTBEAT_MS, STEP_MS, SUBSCRIPTION_MS};
use crate::{EligibleOwner, OWNER_EXPIRY_MS};

impl Fleet {
    pub(super) fn run_heartbeats(&mut self) {
        for at in 0..self.controllers.len() {
            let is_due = (self.now + at as u64 * 70).is_multiple_of(HEARTBEAT_MS);
            if !is_due || !self.is_up(at) {
                continue;
            }
            self.send_heartbeats(at);
            let reachable =
                (0..self.controllers.len()).filter(|other| *other == at || self.are_linked(at, *other)).count();
            if reachable * 2 > self.controllers.len() {
                self.controllers[at].confirmed_at = Some(self.now);
            }
            let (now, eligible) = (self.now, self.eligible(at));
            let confirmed_at = self.confirmed_at(at);
            self.controllers[at].shards.refresh(now, confirmed_at, eligible);
        }
    }

    pub(super) fn confirmed_at(&self, at: usize) -> Option<u64> {
        match self.variant {
            Variant::NoLease => Some(self.now),
            _ => self.controllers[at].confirmed_at,
        }
    }

    fn send_heartbeats(&mut self, at: usize) {
        let (ip, now) = (self.controllers[at].identity.ip.clone(), self.now);
        let own = &self.controllers[at].membership;
        let confirmations = own.controllers.keys().filter(|peer| own.confirms(peer, now)).cloned().collect();
        let confirmed = self.controllers[at].confirmed_at.is_some_and(|time| now < time + CONFIRMATION_MS);
        let report = PeerReport { confirmed, confirmations, ..Default::default() };
        let zone = self.controllers[at].identity.zone.clone();
        for other in (0..self.controllers.len()).filter(|other| *other != at) {
            if self.are_linked(at, other) {
                let peer = Peer { zone: zone.clone(), last_seen: now, ..Default::default() };
                self.controllers[other].membership.observe(&ip, peer);
                self.controllers[other].membership.record_report(&ip, report.clone(), now);
            }
        }
    }

    /// Returns the eligible owners as a controller sees them.
    fn eligible(&self, at: usize) -> Vec<EligibleOwner> {
        let own = &self.controllers[at];
        let is_expired = |ip: &str| match self.variant {
            Variant::ImmediateTakeover => own.membership.silent_ms(ip, self.now) > HEARTBEAT_MS + STEP_MS,
            _ => own.membership.unavailable_ms(ip, self.now) >= OWNER_EXPIRY_MS,
        };
        let others = self
            .controllers
            .iter()
            .filter(|other| other.identity.ip != own.identity.ip && !is_expired(&other.identity.ip));
        iter::once(own.identity.clone()).chain(others.map(|other| other.identity.clone())).collect()
    }

    pub(super) fn refresh_routers(&mut self) {
        for router in 0..self.routers.len() {
            let is_due = (self.now + router as u64 * 30).is_multiple_of(SUBSCRIPTION_MS);
            if !is_due || self.routers[router].frozen_until > self.now {
                continue;
            }
            let zone = self.routers[router].zone;
            let same_zone = (0..self.controllers.len()).filter(|at| self.zone_of(*at) == zone);
            let source = same_zone.chain(0..self.controllers.len()).find(|at| self.reaches(router, *at));
            if let Some(source) = source {
                self.routers[router].eligible_owners = self.eligible(source);
            }
        }
    }
}
