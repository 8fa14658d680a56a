//! The prefix catalog as its owner answers it: which engines hold the KV cache of which prefixes, and their load.

use std::mem;

use catalog::LoadTable;
use catalog::PrefixIndex;
use kernel::hashing;
use parking_lot::Mutex;
use protocol::message::{ChangedEngines, EndpointList, EngineLoad, PrefixLookup, PrefixLookupResponse, Record};

/// How many keys, engines or loads of one message are read.
const MAX_ITEMS: usize = 256;
/// How many prefixes are kept.
const CAPACITY: usize = 200_000;
/// How long a registration counts, in ms.
const STALE_MS: u64 = 30_000;

/// The catalog of this process. Invariant: it answers only under its epoch, and only while this controller owns the role.
pub struct PrefixCatalog(Mutex<CatalogState>);

struct CatalogState {
    prefix_index: PrefixIndex,
    load_table: LoadTable,
    /// The epoch under which it answers now; 0: under none.
    epoch: u64,
    /// The last epoch under which it answered.
    last_epoch: u64,
    /// Registrations that came under another epoch, since the last flush.
    dropped_registrations: u32,
}

impl Default for PrefixCatalog {
    fn default() -> PrefixCatalog {
        PrefixCatalog(Mutex::new(CatalogState {
            prefix_index: PrefixIndex::new(CAPACITY, STALE_MS),
            load_table: LoadTable::default(),
            epoch: 0,
            last_epoch: 0,
            dropped_registrations: 0,
        }))
    }
}

impl PrefixCatalog {
    /// Answers under this epoch from now on, 0: not at all. A new epoch starts with an empty catalog.
    pub fn open(&self, epoch: u64) {
        let mut catalog = self.0.lock();
        if catalog.epoch != epoch && epoch > catalog.last_epoch {
            catalog.prefix_index.clear();
            catalog.load_table.clear();
            catalog.last_epoch = epoch;
        }
        catalog.epoch = epoch;
    }

    /// Returns the engines that hold each prefix asked for, with their loads and those of a sample of engines.
    pub fn look_up(&self, lookup: &PrefixLookup, now: u64) -> PrefixLookupResponse {
        let catalog = self.0.lock();
        let (mut owners, mut list) = (Vec::new(), Vec::new());
        if catalog.answers(lookup.epoch) {
            owners = catalog.find_all(&lookup.keys, now);
            let mut engine_hashes: Vec<u64> = owners.iter().flatten().map(|id| hashing::hash(id.as_bytes())).collect();
            engine_hashes.extend(lookup.sample.iter().take(MAX_ITEMS));
            engine_hashes.sort_unstable();
            engine_hashes.dedup();
            list = catalog.load_table.loads(engine_hashes.into_iter(), now);
        }
        PrefixLookupResponse { epoch: catalog.epoch, owners, list }
    }

    /// Returns the epoch and the engines that hold each key; none under another epoch.
    pub fn find_owners(&self, epoch: u64, keys: &[u64], now: u64) -> (u64, Vec<Vec<String>>) {
        let catalog = self.0.lock();
        match catalog.answers(epoch) {
            true => (epoch, catalog.find_all(keys, now)),
            false => (catalog.epoch, Vec::new()),
        }
    }

    /// Registers engines for prefixes; under another epoch they are dropped and counted.
    pub fn register(&self, epoch: u64, records: &[Record], now: u64) {
        let mut catalog = self.0.lock();
        if !catalog.answers(epoch) {
            catalog.dropped_registrations += records.len() as u32;
            return;
        }
        for record in records {
            catalog.prefix_index.register(record.key, &record.engine, now);
        }
    }

    /// Notes the loads that engines reported.
    pub fn record_loads(&self, loads: &[EngineLoad], now: u64) {
        let mut catalog = self.0.lock();
        loads.iter().take(MAX_ITEMS).for_each(|load| catalog.load_table.record(load, now));
    }

    /// Returns the epoch and how many registrations were dropped since the last flush; under another epoch `dropped`.
    pub fn flush(&self, epoch: u64, dropped: u32) -> (u64, u32) {
        let mut catalog = self.0.lock();
        let dropped = match catalog.epoch == epoch {
            true => mem::take(&mut catalog.dropped_registrations),
            false => dropped,
        };
        (catalog.epoch, dropped)
    }

    /// Forgets engines that drain, so that they leave the answers at once.
    pub fn remove_draining(&self, list: &EndpointList) {
        let mut catalog = self.0.lock();
        for engine in list.engines.iter().filter(|engine| !engine.up) {
            catalog.prefix_index.remove_engine(&engine.id);
        }
    }
}

impl PrefixCatalog {
    /// Forgets the engines of an update that drain or are gone, so that they leave the answers at once.
    pub fn remove_leaving(&self, engines: &ChangedEngines) {
        let draining = engines.changed.iter().filter(|engine| !engine.up).map(|engine| &engine.id);
        let mut catalog = self.0.lock();
        for id in draining.chain(&engines.removed) {
            catalog.prefix_index.remove_engine(id);
        }
    }
}

impl CatalogState {
    fn answers(&self, epoch: u64) -> bool {
        self.epoch == epoch && epoch != 0
    }

    fn find_all(&self, keys: &[u64], now: u64) -> Vec<Vec<String>> {
        keys.iter().take(MAX_ITEMS).map(|key| self.prefix_index.owners(*key, now)).collect()
    }
}
