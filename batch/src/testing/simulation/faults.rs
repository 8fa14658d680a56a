//! The faults of a plan: evacuated zones, broken streams, and owners that crash or freeze.

use std::mem;

use super::Simulation;

impl Simulation<'_> {
    pub(super) fn inject_faults(&mut self) {
        let now = self.now;
        for (time, zone) in self.plan.zone_evacuations.clone() {
            if time == now {
                self.evacuate_zone(zone);
            }
        }
        if self.plan.router_losses.contains(&now) {
            self.break_streams(2);
        }
        if self.plan.system_kills.contains(&now) {
            self.break_streams(1);
        }
        if self.plan.owner_crashes.contains(&now) || self.plan.system_kills.contains(&now) {
            self.crash_owner();
        }
        for (time, duration_ms) in self.plan.owner_freezes.clone() {
            if time == now {
                self.freeze_owner(duration_ms);
            }
        }
    }

    fn crash_owner(&mut self) {
        if let Some(owner) = self.owners.last_mut() {
            owner.is_crashed = true;
            self.next_owner = Some(self.now + self.plan.lease_ms);
        }
    }

    fn freeze_owner(&mut self, duration_ms: u64) {
        if let Some(owner) = self.owners.last_mut() {
            owner.frozen_until = self.now + duration_ms;
            self.next_owner = Some(self.now + self.plan.lease_ms);
        }
    }

    /// Breaks one in `every` streams of each engine without a response. The engines keep running.
    fn break_streams(&mut self, every: usize) {
        let mut broken = Vec::new();
        for engine in &mut self.engines {
            let runs = mem::take(&mut engine.running);
            for (index, run) in runs.into_iter().enumerate() {
                if index.is_multiple_of(every) {
                    broken.push(run)
                } else {
                    engine.running.push(run)
                }
            }
        }
        broken.into_iter().for_each(|run| self.end_run(run.work, false));
    }

    /// Takes a zone out of service, which breaks its streams without a response.
    fn evacuate_zone(&mut self, zone: usize) {
        let mut broken = Vec::new();
        for engine in self.engines.iter_mut().filter(|engine| engine.zone == zone) {
            engine.is_up = false;
            broken.append(&mut engine.running);
        }
        broken.into_iter().for_each(|run| self.end_run(run.work, false));
    }
}
