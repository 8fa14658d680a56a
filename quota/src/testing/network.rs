//! Connectivity between controllers, routers and zones.

use super::Fleet;

impl Fleet {
    /// Returns the index of an unordered pair of controllers in `pair_partitioned_until`.
    pub(super) fn pair_index(&self, first: usize, second: usize) -> usize {
        first.min(second) * self.controllers.len() + first.max(second)
    }

    pub(super) fn zone_of(&self, index: usize) -> usize {
        index % self.zones
    }

    fn are_zones_connected(&self, first: usize, second: usize) -> bool {
        first == second
            || (self.zone_partitioned_until[first] <= self.now && self.zone_partitioned_until[second] <= self.now)
    }

    pub(super) fn is_up(&self, index: usize) -> bool {
        self.controllers[index].frozen_until <= self.now
    }

    pub(super) fn are_connected(&self, first: usize, second: usize) -> bool {
        let reachable = |index: usize| self.is_up(index) && self.controllers[index].partitioned_until <= self.now;
        reachable(first)
            && reachable(second)
            && self.pair_partitioned_until[self.pair_index(first, second)] <= self.now
            && self.are_zones_connected(self.zone_of(first), self.zone_of(second))
    }

    /// Returns whether a router can reach a controller. A partitioned controller is cut off from other controllers
    /// only; routers reach it while they and the zones are connected.
    pub(super) fn can_reach(&self, router: usize, controller: usize) -> bool {
        let from = &self.routers[router];
        self.is_up(controller)
            && from.partitioned_until <= self.now
            && self.are_zones_connected(from.zone, self.zone_of(controller))
    }
}
