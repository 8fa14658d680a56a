//! A simulation of a small fleet in virtual time: interactive requests and a batch on idle engines, under the plan's
//! faults.
//!
//! Each step is one millisecond: it injects faults, starts a due owner, generates interactive requests, ends due runs
//! and runs the owners. The order is fixed and all random numbers come from one seeded generator, so that the same plan
//! gives the same report.

mod engines;
mod faults;
mod owner;
mod report;

use std::collections::BTreeSet;

use kernel::Rng;

use super::plan::{SimulationPlan, SimulationReport};
use crate::{ConcurrencyLimit, JobPage, JOBS_PER_PAGE};

/// The work of a run on an engine.
enum Work {
    Interactive { received_at: u64 },
    Job { job: usize, owner: usize },
}

/// One request that an engine is executing.
struct Run {
    /// Time at which the response is complete.
    ends_at: u64,
    work: Work,
}

struct Engine {
    zone: usize,
    is_up: bool,
    running: Vec<Run>,
}

/// A controller that owns the batch, or believes that it does. Invariant: an owner acts only under the epoch under
/// which it claimed the pages.
struct Owner {
    epoch: u64,
    frozen_until: u64,
    is_crashed: bool,
    in_flight: BTreeSet<usize>,
    /// Jobs whose streams ended and whether they have a response; not yet processed by the owner.
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
    /// Number of times that each job was sent.
    runs: Vec<usize>,
    /// Number of times that each job's final state was written.
    finish_counts: Vec<usize>,
    /// Time at which the next owner takes over.
    next_owner: Option<u64>,
    latencies_ms: Vec<u64>,
    report: SimulationReport,
}

/// Runs a plan and returns its report. Without `has_batch` there are only interactive requests, for comparison.
pub fn simulate(plan: &SimulationPlan, has_batch: bool) -> SimulationReport {
    let engines = (0..plan.zones * plan.engines_per_zone).map(|index| Engine {
        zone: index % plan.zones,
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
        finish_counts: vec![0; plan.jobs],
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
    fn step(&mut self) {
        self.now += 1;
        self.inject_faults();
        self.start_due_owner();
        self.generate_interactive();
        self.end_due_runs();
        for owner in 0..self.owners.len() {
            self.run_owner(owner);
        }
    }
}
