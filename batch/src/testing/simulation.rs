//! An off-peak run in a small simulated fleet: halls with engines, interactive work that comes and
//! goes, a batch that fills what is idle, halls that leave, owners that crash or freeze. Seeded and in
//! virtual time: the same input gives the same report.

mod interruptions;

use std::collections::BTreeSet;
use std::mem;

use kernel::clock::Rng;

use super::plan::{SimulationPlan, SimulationReport};
use crate::{next_dispatches, BatchView, ConcurrencyLimit, Dispatch, JobPage, JobState, Urgency, JOBS_PER_PAGE};

enum Work {
    Interactive { received_at: u64 },
    Job { job: usize, owner: usize },
}

struct Run {
    ends: u64,
    work: Work,
}

struct Engine {
    zone: usize,
    is_up: bool,
    running: Vec<Run>,
}

/// Invariant: an owner acts only under the epoch with which it claimed the pages.
struct Owner {
    epoch: u64,
    frozen_until: u64,
    is_crashed: bool,
    in_flight: BTreeSet<usize>,
    results: Vec<(usize, bool)>,
    limit: ConcurrencyLimit,
}

struct Simulation<'a> {
    plan: &'a SimulationPlan,
    now: u64,
    rng: Rng,
    engines: Vec<Engine>,
    pages: Vec<JobPage>,
    owners: Vec<Owner>,
    runs: Vec<usize>,
    final_results: Vec<usize>,
    next_owner: Option<u64>,
    latencies_ms: Vec<u64>,
    report: SimulationReport,
}

/// Runs the plan; `has_batch` says whether the batch is there at all.
pub fn simulate(plan: &SimulationPlan, has_batch: bool) -> SimulationReport {
    let engines = (0..plan.zones * plan.engines_per_zone).map(|at| Engine {
        zone: at % plan.zones,
        is_up: true,
        running: Vec::new(),
    });
    let pages = (0..plan.jobs).step_by(JOBS_PER_PAGE).map(|first| JobPage::new((plan.jobs - first).min(JOBS_PER_PAGE)));
    let mut simulation = Simulation {
        plan,
        now: 0,
        rng: Rng::new(plan.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        engines: engines.collect(),
        pages: pages.collect(),
        owners: Vec::new(),
        runs: vec![0; plan.jobs],
        final_results: vec![0; plan.jobs],
        next_owner: has_batch.then_some(0),
        latencies_ms: Vec::new(),
        report: SimulationReport::default(),
    };
    let end = plan.window_ms + 20 * plan.lease_ms;
    while simulation.now < end {
        simulation.step();
    }
    simulation.into_report()
}

impl Simulation<'_> {
    fn repeatable(&self, job: usize) -> bool {
        self.plan.non_repeatable_every == 0 || !job.is_multiple_of(self.plan.non_repeatable_every)
    }

    fn step(&mut self) {
        self.now += 1;
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
            if let Some(owner) = self.owners.last_mut() {
                owner.is_crashed = true;
                self.next_owner = Some(now + self.plan.lease_ms);
            }
        }
        for (time, span) in self.plan.owner_freezes.clone() {
            if let (true, Some(owner)) = (time == now, self.owners.last_mut()) {
                owner.frozen_until = now + span;
                self.next_owner = Some(now + self.plan.lease_ms);
            }
        }
        if self.next_owner == Some(now) || (now == 1 && self.next_owner == Some(0)) {
            self.next_owner = None;
            self.start_owner();
        }
        let arrival_chance = (self.plan.interactive_per_s * 1000.0) as u64;
        if self.rng.below(1_000_000) < arrival_chance {
            self.start_interactive(now);
        }
        for at in 0..self.engines.len() {
            while let Some(run) = self.engines[at].running.iter().position(|run| run.ends <= now) {
                let run = self.engines[at].running.swap_remove(run);
                self.end_run(run.work, true);
            }
        }
        for owner in 0..self.owners.len() {
            self.run_owner(owner);
        }
    }

    fn end_run(&mut self, work: Work, is_answered: bool) {
        match work {
            Work::Interactive { received_at } if is_answered => self.latencies_ms.push(self.now - received_at),
            Work::Interactive { received_at } => self.start_interactive(received_at),
            Work::Job { job, owner } => {
                let owner = &mut self.owners[owner];
                if !owner.is_crashed {
                    owner.results.push((job, is_answered));
                }
            }
        }
    }

    fn start_interactive(&mut self, received_at: u64) {
        let available = self.engines.iter().enumerate().filter(|(_, engine)| engine.is_up);
        let Some((at, _)) = available.min_by_key(|(_, engine)| engine.running.len()) else { return };
        // Interactive work takes a place whatever runs there; jobs are the ones that are slowed.
        let interactive =
            self.engines[at].running.iter().filter(|run| matches!(run.work, Work::Interactive { .. })).count();
        let jobs = self.engines[at].running.len() - interactive;
        let slowdown = (interactive as f64 + 0.1 * jobs as f64) / self.plan.slots_per_engine as f64;
        let ends = self.now + (self.plan.interactive_ms as f64 * (1.0 + slowdown)) as u64;
        self.engines[at].running.push(Run { ends, work: Work::Interactive { received_at } });
    }

    fn start_owner(&mut self) {
        let epoch = self.owners.len() as u64 + 1;
        for first in 0..self.pages.len() {
            let every = self.plan.non_repeatable_every;
            let before = self.pages[first].clone();
            let repeatable = |at: usize| every == 0 || !(first * JOBS_PER_PAGE + at).is_multiple_of(every);
            let _ = self.pages[first].claim(epoch, repeatable);
            for (at, state) in self.pages[first].states.iter().enumerate() {
                if state.is_final() && !before.states[at].is_final() {
                    self.final_results[first * JOBS_PER_PAGE + at] += 1;
                }
            }
        }
        let limit = ConcurrencyLimit::new(self.plan.slots_per_engine * self.plan.zones);
        self.owners.push(Owner {
            epoch,
            frozen_until: 0,
            is_crashed: false,
            in_flight: Default::default(),
            results: Vec::new(),
            limit,
        });
    }

    /// A receipt is written only if the page lets it.
    fn finish_job(&mut self, owner: usize, job: usize, state: JobState) {
        let epoch = self.owners[owner].epoch;
        if state == (JobState::Completed { status: 200, body: String::new() }) && self.runs[job] == 0 {
            self.report.receipts_without_run += 1;
        }
        if self.pages[job / JOBS_PER_PAGE].finish(job % JOBS_PER_PAGE, epoch, state).is_ok() {
            self.final_results[job] += 1;
            self.report.last_receipt_ms = self.now;
        }
    }

    fn run_owner(&mut self, at: usize) {
        if self.owners[at].is_crashed || self.now < self.owners[at].frozen_until {
            return;
        }
        for (job, is_answered) in mem::take(&mut self.owners[at].results) {
            self.owners[at].in_flight.remove(&job);
            if is_answered {
                self.finish_job(at, job, JobState::Completed { status: 200, body: String::new() });
                self.owners[at].limit.on_success();
            } else if self.repeatable(job) {
                let epoch = self.owners[at].epoch;
                let _ = self.pages[job / JOBS_PER_PAGE].requeue(job % JOBS_PER_PAGE, epoch);
            } else {
                self.finish_job(at, job, JobState::OutcomeUnknown);
            }
        }
        let remaining_ms = self.plan.window_ms.saturating_sub(self.now);
        let epoch = self.owners[at].epoch;
        let waiting = |job: &usize| {
            let page = &self.pages[job / JOBS_PER_PAGE];
            page.epoch == epoch && page.states[job % JOBS_PER_PAGE] == JobState::Waiting
        };
        let waiting: Vec<usize> = (0..self.plan.jobs).filter(waiting).collect();
        if remaining_ms == 0 {
            waiting.into_iter().for_each(|job| self.finish_job(at, job, JobState::DeadlineMissed));
            return;
        }
        let free = self.owners[at].limit.available(self.owners[at].in_flight.len(), self.now);
        let view = BatchView { batch_id: "b", remaining_ms, window_ms: self.plan.window_ms, waiting };
        for dispatch in next_dispatches(&[view], free) {
            self.dispatch(at, dispatch);
        }
    }

    fn dispatch(&mut self, at: usize, dispatch: Dispatch) {
        let share = if dispatch.urgency == Urgency::DeadlineNear { 0.75 } else { 0.5 };
        let capacity = (self.plan.slots_per_engine as f64 * share) as usize;
        let idle =
            self.engines.iter().enumerate().filter(|(_, engine)| engine.is_up && engine.running.len() < capacity);
        let Some((engine, _)) = idle.min_by_key(|(_, engine)| engine.running.len()) else {
            self.report.rejected_dispatches += 1;
            let now = self.now;
            return self.owners[at].limit.on_rejection(None, now);
        };
        let (page, slot, epoch) = (dispatch.job / JOBS_PER_PAGE, dispatch.job % JOBS_PER_PAGE, self.owners[at].epoch);
        // Durable before it is sent.
        if self.pages[page].start(slot, epoch).is_err() {
            return;
        }
        self.runs[dispatch.job] += 1;
        self.owners[at].in_flight.insert(dispatch.job);
        let slowdown = self.engines[engine].running.len() as f64 / self.plan.slots_per_engine as f64;
        let ends = self.now + (self.plan.job_ms as f64 * (1.0 + slowdown)) as u64;
        self.engines[engine].running.push(Run { ends, work: Work::Job { job: dispatch.job, owner: at } });
    }
}
