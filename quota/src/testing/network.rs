//! Who reaches whom.

use super::Fleet;

impl Fleet {
    pub(super) fn pair(&self, one: usize, two: usize) -> usize {
        one.min(two) * self.controllers.len() + one.max(two)
    }

    pub(super) fn zone_of(&self, at: usize) -> usize {
        at % self.zones
    }

    fn are_zones_linked(&self, one: usize, two: usize) -> bool {
        one == two || (self.zone_partitioned_until[one] <= self.now && self.zone_partitioned_until[two] <= self.now)
    }

    pub(super) fn is_up(&self, at: usize) -> bool {
        self.controllers[at].frozen_until <= self.now
    }

    pub(super) fn are_linked(&self, one: usize, two: usize) -> bool {
        let reachable = |at: usize| self.is_up(at) && self.controllers[at].partitioned_until <= self.now;
        reachable(one)
            && reachable(two)
            && self.pair_partitioned_until[self.pair(one, two)] <= self.now
            && self.are_zones_linked(self.zone_of(one), self.zone_of(two))
    }

    /// A partitioned controller loses the other controllers only; routers reach it while they and the zones are connected.
    pub(super) fn reaches(&self, router: usize, controller: usize) -> bool {
        let from = &self.routers[router];
        self.is_up(controller)
            && from.partitioned_until <= self.now
            && self.are_zones_linked(from.zone, self.zone_of(controller))
    }
}
