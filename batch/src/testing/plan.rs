//! The input of a simulated run and its report.

/// The sizes of the fleet and the batch, and the times of faults. All times are in milliseconds of virtual time.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of jobs in the batch.
    pub jobs: usize,
    /// Every n-th job may not be repeated; 0 if all jobs may.
    pub non_repeatable_every: usize,
    /// The window of the batch.
    pub window_ms: u64,
    /// Number of zones.
    pub zones: usize,
    /// Number of engines in each zone.
    pub engines_per_zone: usize,
    /// Number of concurrent requests that an engine serves without slowing down much.
    pub slots_per_engine: usize,
    /// Interactive requests per second in all zones together.
    pub interactive_per_s: f64,
    /// Duration of an interactive request on an idle engine.
    pub interactive_ms: u64,
    /// Duration of a job on an idle engine.
    pub job_ms: u64,
    /// Times at which zones are evacuated, and their indices. Zones stay evacuated.
    pub zone_evacuations: Vec<(u64, usize)>,
    /// Times at which the owner of the batch crashes. Another one takes over after the lease.
    pub owner_crashes: Vec<u64>,
    /// Times at which the owner freezes, and the durations. Another one takes over after the lease.
    pub owner_freezes: Vec<(u64, u64)>,
    /// Duration of the owner's lease.
    pub lease_ms: u64,
    /// Times at which the owner and all routers are killed, which breaks all streams.
    pub system_kills: Vec<u64>,
    /// Times at which a router is lost, which breaks every other stream. The owner keeps running.
    pub router_losses: Vec<u64>,
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationReport {
    /// Jobs with a response.
    pub completed: usize,
    /// Jobs whose outcome is unknown.
    pub unknown: usize,
    /// Jobs that missed their window.
    pub deadline_missed: usize,
    /// Jobs without a final state. Must be 0.
    pub unfinished: usize,
    /// Jobs whose final state was written more than once. Must be 0.
    pub answered_twice: usize,
    /// Jobs that may not be repeated and ran more than once. Must be 0.
    pub run_twice: usize,
    /// Jobs that have a response but never ran. Must be 0.
    pub responses_without_run: usize,
    /// Time at which the last final state was written, in milliseconds.
    pub last_finish_ms: u64,
    /// Dispatches rejected because no engine had capacity.
    pub rejected_dispatches: usize,
    /// Interactive requests served.
    pub interactive_served: usize,
    /// Median latency of interactive requests, in milliseconds.
    pub interactive_p50_ms: u64,
    /// 99th percentile of the latency of interactive requests, in milliseconds.
    pub interactive_p99_ms: u64,
}

/// Returns the plan described in `docs/batches.md`, with the given seed and number of jobs.
pub fn reference_plan(seed: u64, jobs: usize) -> SimulationPlan {
    let window_ms = 30_000 + 120 * jobs as u64;
    SimulationPlan {
        seed,
        jobs,
        non_repeatable_every: 3,
        window_ms,
        zones: 3,
        engines_per_zone: 3,
        slots_per_engine: 8,
        interactive_per_s: 30.0,
        interactive_ms: 120,
        job_ms: 900,
        zone_evacuations: vec![(window_ms / 4, 0), (window_ms / 2, 1)],
        owner_crashes: vec![window_ms / 5],
        owner_freezes: vec![(window_ms * 2 / 5, 4500)],
        lease_ms: 3000,
        system_kills: vec![window_ms * 3 / 5],
        router_losses: vec![window_ms * 7 / 10],
    }
}
