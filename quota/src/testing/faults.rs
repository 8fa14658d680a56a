//! Injected faults: controllers and routers that freeze, are partitioned or restart without their state.

use super::{new_controller, Controller, Fleet, Router};
use crate::{shard_owners, EligibleOwner};

impl Fleet {
    /// Injects a fault every 1.5 s on average.
    pub(super) fn inject_fault(&mut self) {
        if self.rng.below(150) != 0 {
            return;
        }
        let until = self.now + 200 + self.rng.below(8000);
        let controller = self.rng.below(self.controllers.len() as u64) as usize;
        match self.rng.below(8) {
            0 => self.controllers[controller].frozen_until = until,
            1 => self.controllers[controller].partitioned_until = until,
            2 => {
                let other = self.rng.below(self.controllers.len() as u64) as usize;
                let pair = self.pair_index(controller, other);
                self.pair_partitioned_until[pair] = until;
            }
            3 => self.kill(controller, until.min(self.now + 3000)),
            4 => {
                let zone = self.rng.below(self.zones as u64) as usize;
                self.zone_partitioned_until[zone] = until;
            }
            5 => self.apply_to_routers(|router| router.partitioned_until = until),
            6 => self.apply_to_routers(|router| router.frozen_until = until),
            _ => (0..self.controllers.len()).for_each(|index| self.kill(index, self.now + 500)),
        }
    }

    /// Applies a fault to a sixth of the routers, at consecutive indices.
    fn apply_to_routers(&mut self, fault: impl Fn(&mut Router)) {
        let first = self.rng.below(self.routers.len() as u64) as usize;
        let count = (self.routers.len() / 6).max(1);
        for step in 0..count {
            let index = (first + step) % self.routers.len();
            fault(&mut self.routers[index]);
        }
    }

    /// Kills a controller that owns a shard of a tenant. It restarts after `time_ms`.
    pub fn kill_owner(&mut self, tenant: usize, time_ms: u64) {
        let eligible: Vec<EligibleOwner> =
            self.controllers.iter().map(|controller| controller.identity.clone()).collect();
        let ip = shard_owners(&self.tenants[tenant].name, &eligible)[0].ip.clone();
        let index = self
            .controllers
            .iter()
            .position(|controller| controller.identity.ip == ip)
            .expect("the owner is one of the controllers");
        self.kill(index, self.now + time_ms);
    }

    /// Kills a controller, which restarts without its state at `until`.
    fn kill(&mut self, index: usize, until: u64) {
        let identity = self.controllers[index].identity.clone();
        self.controllers[index] = Controller { frozen_until: until, ..new_controller(identity, self.variant) };
    }
}
