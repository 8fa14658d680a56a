//! The state of the router process, shared by all of its tasks.
//!
//! Lock order: routing table, engine table, owner cache, retry budget, subscribed state, connection pools.
//! Staleness bounds and rollouts come last and are never held together with another lock. Accessors return guards.
//! No guard is held across an await: a suspended task would block the thread that has to wake it.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::Arc;

use catalog::OwnerCache;
use ingress::MemoryBudget;
use kernel::settings::Settings;
use kernel::{hashing, new_incarnation, ConvergenceBudget, Rng};
use load_balancing::{EngineTable, RetryBudget, StalenessBounds};
use parking_lot::{Mutex, MutexGuard};
use protocol::link::PeerClient;
use protocol::Dialer;
use tokio::sync::Notify;

use crate::config::freshness::Freshness;
use crate::config::routing_table::RoutingTable;
use crate::frontend::drain::{Drain, DrainPhase};
use crate::kv::catalog_client::CatalogClient;
use crate::limits::quota_gate::QuotaGate;
use crate::metering::Metering;
use crate::metrics::Metrics;
use crate::rollout::Rollouts;
use crate::upstream::connection_pool::ConnectionPools;

/// Capacity of the owner cache, in entries.
const OWNER_CACHE_CAPACITY: usize = 20_000;
/// Time to live of an owner in the cache since it was last reported, in milliseconds.
const OWNER_TTL_MS: u64 = 30_000;

/// By zone, the version of the weight versions in force, as a (term, sequence) pair.
pub type WeightVersionsByZone = BTreeMap<String, (u64, u64)>;

/// The state of one router process and the components that its tasks share.
pub struct State {
    /// The settings that the process was started with.
    pub settings: Settings,
    /// Distinguishes this run of the process from other runs of the same router.
    pub incarnation: u64,
    /// Dense index of this router's zone.
    pub zone: u32,
    table: Mutex<Arc<RoutingTable>>,
    engine_table: Mutex<EngineTable>,
    owner_cache: Mutex<OwnerCache>,
    retry_budget: Mutex<RetryBudget>,
    /// Connection pools, by address of the engine.
    pub connection_pools: ConnectionPools,
    /// Looks up the owners of prefixes in the catalog and registers them there.
    pub prefix_catalog: CatalogClient,
    staleness_bounds: Mutex<StalenessBounds>,
    weight_versions: Mutex<WeightVersionsByZone>,
    subscribed: Mutex<SubscribedState>,
    /// The time as of which the routing table is proved to be current.
    pub freshness: Freshness,
    home_controller: Mutex<Option<Arc<PeerClient>>>,
    rng: Mutex<Rng>,
    /// When the event that no replica is within a staleness limit was last logged, in milliseconds of the steady clock.
    pub replica_shortage_reported_at: AtomicU64,
    /// Notified when a suspected engine has responded to another router.
    pub suspicion_cleared: Notify,
    /// Whether the router is ready to serve clients.
    pub ready: AtomicBool,
    /// The progress of a graceful shutdown.
    pub drain: Drain,
    /// The memory held for clients.
    pub memory: Arc<MemoryBudget>,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// Enforces the tenants' rate limits.
    pub quota_gate: QuotaGate,
    rollouts: Mutex<Rollouts>,
    /// Notified when samples of a rollout are to be sent.
    pub samples_wanted: Notify,
    /// Counts requests as they start.
    pub metering: Metering,
}

/// State received through subscriptions, besides the routing table and the engines. Invariant: versions never decrease.
#[derive(Default)]
pub struct SubscribedState {
    /// Revision of the configuration in force; 0 before there is one.
    pub config_revision: u64,
    /// By zone, the version of its newest evacuation record and whether the zone is evacuated.
    pub evacuations: BTreeMap<String, (u64, bool)>,
    /// Dense indices of the evacuated zones.
    pub evacuated_zones: Vec<u32>,
    /// Addresses of the controllers.
    pub controllers: Vec<String>,
    /// Recent router counts, each with the time at which it was received.
    pub router_counts: Vec<(u64, u32)>,
}

impl State {
    /// Returns the initial state of a process, which holds nothing but its settings.
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
            owner_cache: Mutex::new(OwnerCache::new(OWNER_CACHE_CAPACITY, OWNER_TTL_MS)),
            retry_budget: Mutex::new(RetryBudget::new(settings.bounds.retry_budget, window_ms)),
            connection_pools: Default::default(),
            prefix_catalog: Default::default(),
            staleness_bounds: Default::default(),
            weight_versions: Default::default(),
            subscribed: Default::default(),
            freshness: Freshness::new(ConvergenceBudget::new(&settings.bounds)),
            home_controller: Default::default(),
            rng: Mutex::new(Rng::new(incarnation)),
            replica_shortage_reported_at: Default::default(),
            suspicion_cleared: Default::default(),
            ready: Default::default(),
            drain: Default::default(),
            memory: MemoryBudget::new(settings.limits.memory_mb),
            metrics: Default::default(),
            quota_gate: QuotaGate::new(&settings),
            rollouts: Default::default(),
            samples_wanted: Default::default(),
            metering: Metering::new(&settings),
            settings,
        })
    }

    /// Returns the dialer for connections to controllers and engines.
    pub fn dialer(&self) -> Dialer {
        Dialer::new(self.settings.source_ip())
    }

    /// Returns the routing table in force.
    pub fn table(&self) -> Arc<RoutingTable> {
        self.table.lock().clone()
    }

    /// Replaces the routing table in force.
    pub fn set_table(&self, table: Arc<RoutingTable>) {
        *self.table.lock() = table;
    }

    /// Locks the table of engines and their load.
    pub fn engines(&self) -> MutexGuard<'_, EngineTable> {
        self.engine_table.lock()
    }

    /// Locks the local record of which engines own which prefixes.
    pub fn owner_cache(&self) -> MutexGuard<'_, OwnerCache> {
        self.owner_cache.lock()
    }

    /// Locks the retry budget, which limits retries to a share of all requests.
    pub fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock()
    }

    /// Locks the staleness limits. Never held together with another lock.
    pub fn staleness_bounds(&self) -> MutexGuard<'_, StalenessBounds> {
        self.staleness_bounds.lock()
    }

    /// Locks the versions of the weight versions in force, by zone.
    pub fn weight_versions(&self) -> MutexGuard<'_, WeightVersionsByZone> {
        self.weight_versions.lock()
    }

    /// Locks the state received through subscriptions.
    pub fn subscribed(&self) -> MutexGuard<'_, SubscribedState> {
        self.subscribed.lock()
    }

    /// Locks the connection to the home controller; `None` before the first subscription.
    pub fn home_controller(&self) -> MutexGuard<'_, Option<Arc<PeerClient>>> {
        self.home_controller.lock()
    }

    /// Locks the random number generator.
    pub fn rng(&self) -> MutexGuard<'_, Rng> {
        self.rng.lock()
    }

    /// Locks the rollouts of versions. Never held together with another lock.
    pub fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        self.rollouts.lock()
    }

    /// Returns how many routers share the limits: the highest of the recent router counts, at least 1.
    pub fn router_count(&self) -> u32 {
        let subscribed = self.subscribed();
        subscribed.router_counts.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1)
    }

    /// Returns the hash of this router's name, the seed of its subset of the engines.
    pub fn router_hash(&self) -> u64 {
        hashing::hash(self.settings.node_name.as_bytes())
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.drain.phase() != DrainPhase::Serving
    }
}
