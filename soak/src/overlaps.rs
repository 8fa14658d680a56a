//! Schedules faults of controllers that overlap: any number of them may be down or frozen at a time, but no more disks
//! are lost than the fleet tolerates until all have recovered.

use std::time::Duration;

use kernel::Rng;

use crate::fleet::TOLERATED_DISKS;
use crate::scenario::{random_below, Action, Event, Scenario, Target, FREEZE_DURATIONS_MS};

/// XORed with the seed of a run to seed its overlapping faults.
const OVERLAP_SEED: u64 = 0x0e1a;
/// Time of the first fault, in milliseconds.
const FIRST_FAULT_MS: u64 = 1500;
/// Exclusive upper bound of the time between two steps of the schedule, in milliseconds.
const MAX_STEP_MS: u64 = 1600;
/// Minimum time for which the last controller runs alone before it loses its disk, in milliseconds.
const ALONE_MS: u64 = 1500;
/// Maximum number of steps of one group of overlapping faults, before all controllers start again.
const MAX_GROUP_STEPS: u64 = 7;
/// Exclusive upper bound of the time between the starts of two controllers at the end of a group, in milliseconds.
const MAX_START_GAP_MS: u64 = 900;
/// Time after all controllers run in which they recover, in milliseconds: the bound `recovery_s` of the settings.
pub const RECOVERY_MS: u64 = 12_000;

/// Adds groups of overlapping faults. Between two groups, all controllers run for the recovery time. A separate
/// generator keeps the other events the same with and without these.
pub fn add(events: &mut Vec<Event>, scenario: &Scenario) {
    let end_ms = scenario.duration.as_millis() as u64;
    let mut schedule = OverlapSchedule {
        rng: Rng::new(scenario.seed ^ OVERLAP_SEED),
        events,
        down: Vec::new(),
        lost_disks: 0,
        at_ms: 0,
    };
    let mut group_start_ms = FIRST_FAULT_MS;
    while group_start_ms + RECOVERY_MS < end_ms {
        schedule.at_ms = group_start_ms;
        schedule.add_group(scenario.controllers);
        group_start_ms = schedule.at_ms + RECOVERY_MS;
    }
}

struct OverlapSchedule<'a> {
    rng: Rng,
    events: &'a mut Vec<Event>,
    /// The controllers that are down.
    down: Vec<usize>,
    /// Disks lost in this group.
    lost_disks: usize,
    at_ms: u64,
}

impl OverlapSchedule<'_> {
    fn push(&mut self, controller: usize, action: Action) {
        let at = Duration::from_millis(self.at_ms);
        self.events.push(Event { at, target: Target::Controller(controller), action });
    }

    /// Adds one group: a few random steps, after which all controllers start again one after another.
    fn add_group(&mut self, controllers: usize) {
        self.lost_disks = 0;
        let steps = 2 + random_below(&mut self.rng, MAX_GROUP_STEPS - 1);
        for _ in 0..steps {
            self.add_step(controllers);
            self.at_ms += random_below(&mut self.rng, MAX_STEP_MS);
        }
        while !self.down.is_empty() {
            let position = random_below(&mut self.rng, self.down.len() as u64) as usize;
            let controller = self.down.swap_remove(position);
            self.push(controller, Action::StartAgain);
            self.at_ms += random_below(&mut self.rng, MAX_START_GAP_MS);
        }
    }

    /// Adds one step: a controller goes down, with its disk if another may be lost, is frozen, or starts again.
    fn add_step(&mut self, controllers: usize) {
        let is_last_lost = self.down.len() + 1 == controllers
            && self.lost_disks < TOLERATED_DISKS
            && random_below(&mut self.rng, 2) == 0;
        if is_last_lost {
            self.lose_last_running(controllers);
            return;
        }
        let controller = random_below(&mut self.rng, controllers as u64) as usize;
        if let Some(position) = self.down.iter().position(|down| *down == controller) {
            self.down.swap_remove(position);
            self.push(controller, Action::StartAgain);
            return;
        }
        if random_below(&mut self.rng, 4) == 0 {
            let duration_ms =
                FREEZE_DURATIONS_MS[random_below(&mut self.rng, FREEZE_DURATIONS_MS.len() as u64) as usize];
            self.push(controller, Action::Freeze);
            let at = Duration::from_millis(self.at_ms + duration_ms);
            self.events.push(Event { at, target: Target::Controller(controller), action: Action::Thaw });
            return;
        }
        let loses_disk = self.lost_disks < TOLERATED_DISKS && random_below(&mut self.rng, 4) == 0;
        self.lost_disks += usize::from(loses_disk);
        self.down.push(controller);
        self.push(controller, Action::TakeDown { loses_disk });
    }

    /// The only running controller runs for a while longer, then goes down and loses its disk: with it, what it
    /// acknowledged alone would be lost.
    fn lose_last_running(&mut self, controllers: usize) {
        let Some(last) = (0..controllers).find(|controller| !self.down.contains(controller)) else { return };
        self.at_ms += ALONE_MS + random_below(&mut self.rng, MAX_STEP_MS);
        self.lost_disks += 1;
        self.down.push(last);
        self.push(last, Action::TakeDown { loses_disk: true });
    }
}
