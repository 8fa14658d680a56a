//! Requests of the tenants' clients, and the routers' decisions on them.

use std::mem;

use super::{Fleet, DENIAL_CACHE_MS, MAX_SEND_DELAY_MS, STEP_MS};
use crate::{shard_owners, TokenDecision};

impl Fleet {
    /// Handles the requests queued at routers that are no longer frozen, and generates the requests of this step.
    pub(super) fn generate_requests(&mut self) {
        for router in 0..self.routers.len() {
            if self.routers[router].frozen_until <= self.now {
                for tenant in mem::take(&mut self.routers[router].queued) {
                    self.handle_request(router, tenant);
                }
            }
        }
        for tenant in 0..self.tenants.len() {
            let mut expected = self.tenants[tenant].demand * STEP_MS as f64 / 1000.0;
            while expected > 0.0 {
                if (self.rng.below(1_000_000) as f64) < expected.min(1.0) * 1_000_000.0 {
                    let router = self.pick_router(tenant);
                    self.handle_request(router, tenant);
                }
                expected -= 1.0;
            }
        }
    }

    /// Returns the router that a client of a tenant reaches: in the tenant's zone for four requests of five.
    fn pick_router(&mut self, tenant: usize) -> usize {
        let any = self.rng.below(self.routers.len() as u64) as usize;
        if self.rng.below(5) == 0 {
            return any;
        }
        let zone = self.tenants[tenant].zone;
        (any - any % self.zones + zone).min(self.routers.len() - 1)
    }

    fn handle_request(&mut self, router: usize, tenant: usize) {
        if self.routers[router].frozen_until > self.now {
            self.routers[router].queued.push(tenant);
            return;
        }
        self.counts[tenant].received += 1;
        if self.now < self.routers[router].denied_until[tenant] {
            self.counts[tenant].over_quota += 1;
            return;
        }
        match self.acquire_token(router, tenant) {
            TokenDecision::Granted => self.send(tenant),
            TokenDecision::Denied { retry_after_ms } => {
                self.counts[tenant].over_quota += 1;
                self.routers[router].denied_until[tenant] = self.now + retry_after_ms.min(DENIAL_CACHE_MS);
            }
            TokenDecision::NotOwner => {
                let (name, quota) = (self.tenants[tenant].name.clone(), self.tenants[tenant].quota);
                let routers = self.routers.len() as u32;
                match self.routers[router].allowances.try_acquire(&name, &quota, routers, self.now) {
                    true => self.send(tenant),
                    false => self.counts[tenant].rejected_without_owner += 1,
                }
            }
        }
    }

    /// Requests a token from one owner after the other until one grants it.
    fn acquire_token(&mut self, router: usize, tenant: usize) -> TokenDecision {
        let (name, quota) = (self.tenants[tenant].name.clone(), self.tenants[tenant].quota);
        let owners: Vec<String> =
            shard_owners(&name, &self.routers[router].eligible_owners).iter().map(|owner| owner.ip.clone()).collect();
        let first = self.rng.below(owners.len().max(1) as u64) as usize;
        let mut decision = TokenDecision::NotOwner;
        for step in 0..owners.len() {
            let ip = &owners[(first + step) % owners.len()];
            let Some(index) = self.controllers.iter().position(|controller| controller.identity.ip == *ip) else {
                continue;
            };
            if !self.can_reach(router, index) {
                continue;
            }
            let confirmed_at = self.confirmed_at(index);
            match self.controllers[index].shards.try_acquire(&name, quota, self.now, confirmed_at) {
                TokenDecision::Granted => return TokenDecision::Granted,
                TokenDecision::Denied { retry_after_ms } => decision = TokenDecision::Denied { retry_after_ms },
                TokenDecision::NotOwner => {}
            }
        }
        decision
    }

    fn send(&mut self, tenant: usize) {
        self.counts[tenant].sent += 1;
        let sent_at = self.now + self.rng.below(MAX_SEND_DELAY_MS);
        self.send_times[tenant].push(sent_at);
    }
}
