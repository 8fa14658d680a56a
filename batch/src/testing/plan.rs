//! What a simulated run is given and what it reports.

/// The size of the fleet and the batch, and the faults by time. All times are in milliseconds of virtual time.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// The seed of all random draws.
    pub seed: u64,
    /// Jobs in the batch.
    pub jobs: usize,
    /// Every how many jobs one may not be repeated; 0 if all may.
    pub non_repeatable_every: usize,
    /// The window of the batch.
    pub window_ms: u64,
    /// Zones with engines.
    pub zones: usize,
    /// Engines in each zone.
    pub engines_per_zone: usize,
    /// Requests that an engine serves at once without slowing down much.
    pub slots_per_engine: usize,
    /// Interactive requests per second in all zones together.
    pub interactive_per_s: f64,
    /// How long an interactive request takes on an idle engine.
    pub interactive_ms: u64,
    /// How long a job takes on an idle engine.
    pub job_ms: u64,
    /// When zones are evacuated, and which; none comes back.
    pub zone_evacuations: Vec<(u64, usize)>,
    /// When the owner of the batch crashes; another takes over after the lease.
    pub owner_crashes: Vec<u64>,
    /// When the owner freezes, and for how long; another takes over after the lease.
    pub owner_freezes: Vec<(u64, u64)>,
    /// The owner's lease.
    pub lease_ms: u64,
    /// When the owner and all routers are killed at once, with all streams.
    pub system_kills: Vec<u64>,
    /// When a router is lost: every other stream breaks off; the owner keeps running.
    pub router_losses: Vec<u64>,
}

/// What came of a run.
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
    /// Responses of jobs that never ran. Must be 0.
    pub responses_without_run: usize,
    /// When the last final state was written, in milliseconds.
    pub last_finish_ms: u64,
    /// Dispatches that found no engine with capacity.
    pub rejected_dispatches: usize,
    /// Interactive requests served.
    pub interactive_served: usize,
    /// Median latency of interactive requests, in milliseconds.
    pub interactive_p50_ms: u64,
    /// 99th percentile of the latency of interactive requests, in milliseconds.
    pub interactive_p99_ms: u64,
}

/// Returns the plan that `docs/batches.md` describes, with a chosen seed and number of jobs.
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
