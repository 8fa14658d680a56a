//! The one state of the process, passed by reference.
//!
//! Lock order: table, engine_table, record, budget, news, pools. No lock is held over an await.

pub struct State {
    pub env: kernel::env::Env,
    pub life: u64,
    /// The own zone, by its dense index.
    pub zone: u32,
    pub table: std::sync::Mutex<std::sync::Arc<crate::table::Table>>,
    pub engine_table: std::sync::Mutex<load_balancing::engine_table::EngineTable>,
    pub record: std::sync::Mutex<catalog::record::Record>,
    pub budget: std::sync::Mutex<load_balancing::budget::Budget>,
    pub pools: crate::pool::Pools,
    pub lookup: crate::lookup::Lookup,
    /// Limits on stale weights. Taken last, never together with another.
    pub floors: std::sync::Mutex<load_balancing::floor::Floors>,
    /// By zone: the version of the weight versions held.
    pub weights: std::sync::Mutex<std::collections::BTreeMap<String, (u64, u64)>>,
    pub news: std::sync::Mutex<News>,
    /// As of when the table is proved to be current.
    pub currency: crate::currency::Currency,
    /// The home controller of now.
    pub home: std::sync::Mutex<Option<std::sync::Arc<protocol::link::Caller>>>,
    pub dice: std::sync::Mutex<kernel::clock::Dice>,
    /// When the want of fresh replicas was last told.
    pub few_at: std::sync::atomic::AtomicU64,
    /// Woken when an engine in doubt answered another router.
    pub calm: tokio::sync::Notify,
    pub ready: std::sync::atomic::AtomicBool,
    pub drain: crate::drain::Drain,
    /// Bytes of request bodies held.
    pub held: std::sync::atomic::AtomicUsize,
    pub metrics: crate::metrics::Metrics,
    pub quota_gate: crate::quota_gate::QuotaGate,
    /// Rollouts of versions. Taken last, never together with another.
    pub rollouts: std::sync::Mutex<crate::version_rollouts::Rollouts>,
    /// Samples of a rollout wait to be sent.
    pub samples_wanted: tokio::sync::Notify,
}

/// What the controllers told. Invariant: versions never go back.
#[derive(Default)]
pub struct News {
    pub config: u64,
    pub closed: std::collections::BTreeMap<String, (u64, bool)>,
    /// Evacuated zones, by dense index.
    pub shut: Vec<u32>,
    pub controllers: Vec<String>,
    pub seats: Vec<(u64, u32)>,
}

/// What a record may grow to, and for how long an owner counts that was not heard of again.
const RECORD: usize = 20_000;
const STALE_MS: u64 = 30_000;

impl State {
    /// The state of a process that has just started: it knows its settings and nothing else.
    pub fn new(env: kernel::env::Env) -> std::sync::Arc<State> {
        let life = kernel::clock::life();
        let mut engine_table = load_balancing::engine_table::EngineTable::default();
        let own_zone = engine_table.zone(&env.zone);
        for (zone, region) in &env.zones {
            engine_table.region(zone, region);
        }
        let window_ms = (env.bounds.budget_window_s * 1000.0) as u64;
        std::sync::Arc::new(State {
            life,
            zone: own_zone,
            table: Default::default(),
            engine_table: std::sync::Mutex::new(engine_table),
            record: std::sync::Mutex::new(catalog::record::Record::new(RECORD, STALE_MS)),
            budget: std::sync::Mutex::new(load_balancing::budget::Budget::new(env.bounds.retry_budget, window_ms)),
            pools: Default::default(),
            lookup: Default::default(),
            floors: Default::default(),
            weights: Default::default(),
            news: Default::default(),
            currency: crate::currency::Currency::new(kernel::convergence::Budget::new(&env.bounds)),
            home: Default::default(),
            dice: std::sync::Mutex::new(kernel::clock::Dice::new(life)),
            few_at: Default::default(),
            calm: Default::default(),
            ready: Default::default(),
            drain: Default::default(),
            held: Default::default(),
            metrics: Default::default(),
            quota_gate: crate::quota_gate::QuotaGate::new(&env),
            rollouts: Default::default(),
            samples_wanted: Default::default(),
            env,
        })
    }

    /// How many routers share the bounds: the most that was told in the last ten seconds.
    pub fn router_count(&self) -> u32 {
        let news = self.news.lock().expect("news");
        news.seats.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1)
    }

    /// What tells this router's samples from those of others.
    pub fn mark(&self) -> u64 {
        kernel::clock::hash(self.env.node_name.as_bytes())
    }

    pub fn table(&self) -> std::sync::Arc<crate::table::Table> {
        self.table.lock().expect("table").clone()
    }

    /// Is the process about to end?
    pub fn is_leaving(&self) -> bool {
        self.drain.phase() != crate::drain::Phase::Serving
    }
}
