//! The one state of the process, passed by reference.
//!
//! Lock order: table, engine_table, record, budget, news, pools. No lock is held over an await.

use kernel::hashing;
use kernel::new_incarnation;
use kernel::ConvergenceBudget;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::Arc;

use catalog::OwnerCache;

use kernel::settings::Settings;
use kernel::Rng;
use load_balancing::EngineTable;
use load_balancing::RetryBudget;
use load_balancing::StalenessBounds;
use parking_lot::Mutex;
use protocol::link::PeerClient;
use tokio::sync::Notify;

use crate::config::freshness::Currency;
use crate::config::routing_table::RoutingTable;
use crate::frontend::drain::{Drain, Phase};
use crate::kv::prefix_lookup::Lookup;
use crate::limits::quota_gate::QuotaGate;
use crate::metrics::Metrics;
use crate::rollout::Rollouts;
use crate::upstream::connection_pool::ConnectionPools;

pub struct State {
    pub settings: Settings,
    pub incarnation: u64,
    /// The own zone, by its dense index.
    pub zone: u32,
    pub table: Mutex<Arc<RoutingTable>>,
    pub engine_table: Mutex<EngineTable>,
    pub owner_cache: Mutex<OwnerCache>,
    pub retry_budget: Mutex<RetryBudget>,
    pub connection_pools: ConnectionPools,
    pub prefix_catalog: Lookup,
    /// Limits on stale weights. Taken last, never together with another.
    pub staleness_bounds: Mutex<StalenessBounds>,
    /// By zone: the version of the weight versions held.
    pub weight_versions: Mutex<BTreeMap<String, (u64, u64)>>,
    pub subscribed: Mutex<SubscribedState>,
    /// As of when the table is proved to be current.
    pub freshness: Currency,
    /// The home controller of now.
    pub home_controller: Mutex<Option<Arc<PeerClient>>>,
    pub rng: Mutex<Rng>,
    /// When the want of fresh replicas was last told.
    pub few_at: AtomicU64,
    /// Woken when an engine in doubt answered another router.
    pub suspicion_cleared: Notify,
    pub ready: AtomicBool,
    pub drain: Drain,
    /// Bytes of request bodies held.
    pub held_body_bytes: AtomicUsize,
    pub metrics: Metrics,
    pub quota_gate: QuotaGate,
    /// Rollouts of versions. Taken last, never together with another.
    pub rollouts: Mutex<Rollouts>,
    /// Samples of a rollout wait to be sent.
    pub samples_wanted: Notify,
}

/// What the controllers told. Invariant: versions never go back.
#[derive(Default)]
pub struct SubscribedState {
    pub config_revision: u64,
    pub evacuations: BTreeMap<String, (u64, bool)>,
    /// Evacuated zones, by dense index.
    pub evacuated_zones: Vec<u32>,
    pub controllers: Vec<String>,
    pub router_counts: Vec<(u64, u32)>,
}

/// What a record may grow to, and for how long an owner counts that was not heard of again.
const RECORD: usize = 20_000;
const STALE_MS: u64 = 30_000;

impl State {
    /// The state of a process that has just started: it knows its settings and nothing else.
    pub fn new(settings: Settings) -> Arc<State> {
        let incarnation = new_incarnation();
        let mut engine_table = EngineTable::default();
        let own_zone = engine_table.zone_index(&settings.zone);
        for (zone, region) in &settings.zones {
            engine_table.set_region(zone, region);
        }
        let window_ms = (settings.bounds.budget_window_s * 1000.0) as u64;
        Arc::new(State {
            incarnation,
            zone: own_zone,
            table: Default::default(),
            engine_table: Mutex::new(engine_table),
            owner_cache: Mutex::new(OwnerCache::new(RECORD, STALE_MS)),
            retry_budget: Mutex::new(RetryBudget::new(settings.bounds.retry_budget, window_ms)),
            connection_pools: Default::default(),
            prefix_catalog: Default::default(),
            staleness_bounds: Default::default(),
            weight_versions: Default::default(),
            subscribed: Default::default(),
            freshness: Currency::new(ConvergenceBudget::new(&settings.bounds)),
            home_controller: Default::default(),
            rng: Mutex::new(Rng::new(incarnation)),
            few_at: Default::default(),
            suspicion_cleared: Default::default(),
            ready: Default::default(),
            drain: Default::default(),
            held_body_bytes: Default::default(),
            metrics: Default::default(),
            quota_gate: QuotaGate::new(&settings),
            rollouts: Default::default(),
            samples_wanted: Default::default(),
            settings,
        })
    }

    /// How many routers share the bounds: the most that was told in the last ten seconds.
    pub fn router_count(&self) -> u32 {
        let subscribed = self.subscribed.lock();
        subscribed.router_counts.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1)
    }

    /// What tells this router's samples from those of others.
    pub fn mark(&self) -> u64 {
        hashing::hash(self.settings.node_name.as_bytes())
    }

    pub fn table(&self) -> Arc<RoutingTable> {
        self.table.lock().clone()
    }

    /// Is the process about to end?
    pub fn is_leaving(&self) -> bool {
        self.drain.phase() != Phase::Serving
    }
}
