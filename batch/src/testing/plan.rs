//! What an off-peak run is given and what it reports.

#[derive(Clone, Debug)]
pub struct SimulationPlan {
    pub seed: u64,
    pub jobs: usize,
    /// Every so many jobs, one may not be repeated. 0: all may.
    pub non_repeatable_every: usize,
    pub window_ms: u64,
    pub zones: usize,
    pub engines_per_zone: usize,
    pub slots_per_engine: usize,
    /// Interactive requests a second, all halls together, and how long one takes on an idle engine.
    pub interactive_per_s: f64,
    pub interactive_ms: u64,
    pub job_ms: u64,
    /// When halls leave service, and which; none comes back.
    pub zone_evacuations: Vec<(u64, usize)>,
    /// When the owner of the batch falls and another takes over after the lease.
    pub owner_crashes: Vec<u64>,
    /// When the owner freezes, and for how long.
    pub owner_freezes: Vec<(u64, u64)>,
    pub lease_ms: u64,
    /// When all processes of the system are killed at once: owner, routers, their streams.
    pub system_kills: Vec<u64>,
    /// When a router is lost: every other stream breaks off, the owner lives.
    pub router_losses: Vec<u64>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationReport {
    pub completed: usize,
    pub unknown: usize,
    pub deadline_missed: usize,
    pub unfinished: usize,
    /// Jobs that got a second receipt, jobs run twice that may not be, receipts without a run: all 0.
    pub answered_twice: usize,
    pub run_twice: usize,
    pub receipts_without_run: usize,
    pub last_receipt_ms: u64,
    pub rejected_dispatches: usize,
    pub interactive_served: usize,
    pub interactive_p50_ms: u64,
    pub interactive_p99_ms: u64,
}

/// The off-peak run of the documentation, at a size of one's own.
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
