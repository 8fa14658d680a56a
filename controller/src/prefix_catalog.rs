//! The prefix catalog that the role owner serves: which engines hold the KV cache of which prefixes, and the load of
//! engines.

use std::mem;

use catalog::LoadTable;
use catalog::PrefixIndex;
use kernel::hashing;
use parking_lot::Mutex;
use protocol::message::{ChangedEngines, EndpointList, EngineLoad, PrefixLookup, PrefixLookupResponse, Record};

/// The maximum number of keys, engines or loads read from one message.
const MAX_ITEMS: usize = 256;
/// The maximum number of prefixes in the index.
const MAX_PREFIXES: usize = 200_000;
/// Lifetime of a registration, in ms.
const REGISTRATION_TTL_MS: u64 = 30_000;

/// The prefix catalog of this process. Invariant: it serves lookups only under its current epoch, and only while this
/// controller owns the role.
pub struct PrefixCatalog(Mutex<CatalogState>);

struct CatalogState {
    prefix_index: PrefixIndex,
    load_table: LoadTable,
    /// The epoch that is served now; 0 if none.
    epoch: u64,
    /// The last epoch that was served.
    last_epoch: u64,
    /// The number of registrations dropped since the last flush because they carried another epoch.
    dropped_registrations: u32,
}

impl Default for PrefixCatalog {
    fn default() -> PrefixCatalog {
        PrefixCatalog(Mutex::new(CatalogState {
            prefix_index: PrefixIndex::new(MAX_PREFIXES, REGISTRATION_TTL_MS),
            load_table: LoadTable::default(),
            epoch: 0,
            last_epoch: 0,
            dropped_registrations: 0,
        }))
    }
}

impl PrefixCatalog {
    /// Serves `epoch` from now on, or none if it is 0. A new epoch starts with an empty catalog.
    pub fn open(&self, epoch: u64) {
        let mut catalog = self.0.lock();
        if catalog.epoch != epoch && epoch > catalog.last_epoch {
            catalog.prefix_index.clear();
            catalog.load_table.clear();
            catalog.last_epoch = epoch;
        }
        catalog.epoch = epoch;
    }

    /// Returns the engines that hold each requested prefix, with their loads and those of the sampled engines.
    pub fn look_up(&self, lookup: &PrefixLookup, now: u64) -> PrefixLookupResponse {
        let catalog = self.0.lock();
        let (mut owners, mut list) = (Vec::new(), Vec::new());
        if catalog.serves(lookup.epoch) {
            owners = catalog.find_holders(&lookup.keys, now);
            let mut engine_hashes: Vec<u64> = owners.iter().flatten().map(|id| hashing::hash(id.as_bytes())).collect();
            engine_hashes.extend(lookup.sample.iter().take(MAX_ITEMS));
            engine_hashes.sort_unstable();
            engine_hashes.dedup();
            list = catalog.load_table.loads(engine_hashes.into_iter(), now);
        }
        PrefixLookupResponse { epoch: catalog.epoch, owners, list }
    }

    /// Returns the current epoch and the engines that hold each key; no engines if `epoch` is not the current one.
    pub fn find_owners(&self, epoch: u64, keys: &[u64], now: u64) -> (u64, Vec<Vec<String>>) {
        let catalog = self.0.lock();
        match catalog.serves(epoch) {
            true => (epoch, catalog.find_holders(keys, now)),
            false => (catalog.epoch, Vec::new()),
        }
    }

    /// Registers engines for prefixes. Registrations under another epoch are dropped and counted.
    pub fn register(&self, epoch: u64, records: &[Record], now: u64) {
        let mut catalog = self.0.lock();
        if !catalog.serves(epoch) {
            catalog.dropped_registrations += records.len() as u32;
            return;
        }
        for record in records {
            catalog.prefix_index.register(record.key, &record.engine, now);
        }
    }

    /// Records reported engine loads.
    pub fn record_loads(&self, loads: &[EngineLoad], now: u64) {
        let mut catalog = self.0.lock();
        loads.iter().take(MAX_ITEMS).for_each(|load| catalog.load_table.record(load, now));
    }

    /// Returns the current epoch and the number of registrations dropped since the last flush, or `dropped` unchanged
    /// if `epoch` is not the current one.
    pub fn flush(&self, epoch: u64, dropped: u32) -> (u64, u32) {
        let mut catalog = self.0.lock();
        let dropped = match catalog.epoch == epoch {
            true => mem::take(&mut catalog.dropped_registrations),
            false => dropped,
        };
        (catalog.epoch, dropped)
    }

    /// Removes draining engines, so that lookups no longer return them.
    pub fn remove_draining(&self, list: &EndpointList) {
        let mut catalog = self.0.lock();
        for engine in list.engines.iter().filter(|engine| !engine.up) {
            catalog.prefix_index.remove_engine(&engine.id);
        }
    }
}

impl PrefixCatalog {
    /// Removes the engines that an update shows as draining or removed, so that lookups no longer return them.
    pub fn remove_leaving(&self, engines: &ChangedEngines) {
        let draining = engines.changed.iter().filter(|engine| !engine.up).map(|engine| &engine.id);
        let mut catalog = self.0.lock();
        for id in draining.chain(&engines.removed) {
            catalog.prefix_index.remove_engine(id);
        }
    }
}

impl CatalogState {
    fn serves(&self, epoch: u64) -> bool {
        self.epoch == epoch && epoch != 0
    }

    fn find_holders(&self, keys: &[u64], now: u64) -> Vec<Vec<String>> {
        keys.iter().take(MAX_ITEMS).map(|key| self.prefix_index.owners(*key, now)).collect()
    }
}
