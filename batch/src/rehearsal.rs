//! What an off-peak run is given and what it reports.

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub jobs: usize,
    /// Every so many jobs, one may not be repeated. 0: all may.
    pub once_every: usize,
    pub window_ms: u64,
    pub halls: usize,
    pub engines: usize,
    pub slots: usize,
    /// Interactive requests a second, all halls together, and how long one takes on an idle engine.
    pub rate: f64,
    pub work_ms: u64,
    pub job_ms: u64,
    /// When halls leave service, and which; none comes back.
    pub leave: Vec<(u64, usize)>,
    /// When the owner of the batch falls and another takes over after the lease.
    pub crash: Vec<u64>,
    /// When the owner freezes, and for how long.
    pub freeze: Vec<(u64, u64)>,
    pub lease_ms: u64,
    /// When all processes of the system are killed at once: owner, routers, their streams.
    pub kill_all: Vec<u64>,
    /// When a router is lost: every other stream breaks off, the owner lives.
    pub lose_router: Vec<u64>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub done: usize,
    pub unknown: usize,
    pub missed: usize,
    pub open: usize,
    /// Jobs that got a second receipt, jobs run twice that may not be, receipts without a run: all 0.
    pub twice_answered: usize,
    pub twice_run: usize,
    pub invented: usize,
    pub last_ms: u64,
    pub refused: usize,
    pub served: usize,
    pub p50_ms: u64,
    pub p99_ms: u64,
}

/// The off-peak run of the documentation, at a size of one's own.
pub fn plan(seed: u64, jobs: usize) -> Plan {
    let window_ms = 30_000 + 120 * jobs as u64;
    Plan {
        seed,
        jobs,
        once_every: 3,
        window_ms,
        halls: 3,
        engines: 3,
        slots: 8,
        rate: 30.0,
        work_ms: 120,
        job_ms: 900,
        leave: vec![(window_ms / 4, 0), (window_ms / 2, 1)],
        crash: vec![window_ms / 5],
        freeze: vec![(window_ms * 2 / 5, 4500)],
        lease_ms: 3000,
        kill_all: vec![window_ms * 3 / 5],
        lose_router: vec![window_ms * 7 / 10],
    }
}
