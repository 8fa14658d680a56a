//! Heartbeats between controllers, through the production membership view, and updates of the routers' lists of owners.

use std::iter;

use membership::{Peer, PeerReport};

use super::{Fleet, Variant, CONFIRMATION_MS, HEARTBEAT_MS, STEP_MS, SUBSCRIPTION_MS};
use crate::{EligibleOwner, OWNER_EXPIRY_MS};

impl Fleet {
    /// Sends the heartbeats that are due and refreshes the shards of their controllers.
    pub(super) fn run_heartbeats(&mut self) {
        for index in 0..self.controllers.len() {
            let is_due = (self.now + index as u64 * 70).is_multiple_of(HEARTBEAT_MS);
            if !is_due || !self.is_up(index) {
                continue;
            }
            self.send_heartbeats(index);
            let reachable = (0..self.controllers.len())
                .filter(|other| *other == index || self.are_connected(index, *other))
                .count();
            if reachable * 2 > self.controllers.len() {
                self.controllers[index].confirmed_at = Some(self.now);
            }
            let (now, eligible) = (self.now, self.eligible(index));
            let confirmed_at = self.confirmed_at(index);
            self.controllers[index].shards.refresh(now, confirmed_at, eligible);
        }
    }

    /// Returns the start of the last read that confirmed a controller, as passed to its shards.
    pub(super) fn confirmed_at(&self, index: usize) -> Option<u64> {
        match self.variant {
            Variant::NoLease => Some(self.now),
            _ => self.controllers[index].confirmed_at,
        }
    }

    fn send_heartbeats(&mut self, index: usize) {
        let (ip, now) = (self.controllers[index].identity.ip.clone(), self.now);
        let own = &self.controllers[index].membership;
        let confirmations = own.controllers.keys().filter(|peer| own.confirms(peer, now)).cloned().collect();
        let confirmed = self.controllers[index].confirmed_at.is_some_and(|time| now < time + CONFIRMATION_MS);
        let report = PeerReport { confirmed, confirmations, ..Default::default() };
        let zone = self.controllers[index].identity.zone.clone();
        for other in (0..self.controllers.len()).filter(|other| *other != index) {
            if self.are_connected(index, other) {
                let peer = Peer { zone: zone.clone(), last_seen: now, ..Default::default() };
                self.controllers[other].membership.observe(&ip, peer);
                self.controllers[other].membership.record_report(&ip, report.clone(), now);
            }
        }
    }

    /// Returns the eligible owners as seen by a controller.
    fn eligible(&self, index: usize) -> Vec<EligibleOwner> {
        let own = &self.controllers[index];
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

    /// Updates the routers' lists of eligible owners that are due, preferably from a controller in the same zone.
    pub(super) fn refresh_routers(&mut self) {
        for router in 0..self.routers.len() {
            let is_due = (self.now + router as u64 * 30).is_multiple_of(SUBSCRIPTION_MS);
            if !is_due || self.routers[router].frozen_until > self.now {
                continue;
            }
            let zone = self.routers[router].zone;
            let same_zone = (0..self.controllers.len()).filter(|index| self.zone_of(*index) == zone);
            let source = same_zone.chain(0..self.controllers.len()).find(|index| self.can_reach(router, *index));
            if let Some(source) = source {
                self.routers[router].eligible_owners = self.eligible(source);
            }
        }
    }
}
