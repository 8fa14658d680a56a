//! The load that each engine last reported to any router.
//!
//! The controller that holds the prefix index also holds this table, since every prefill contacts it anyway:
//! registrations carry reports in, and lookups return those of a few engines (`docs/design.md`, "Decisions from
//! samples").

use std::collections::HashMap;

use protocol::message::EngineLoad;

/// Age at which a report becomes stale and is no longer returned, in milliseconds. Routers discount a report with a
/// half-life of 0.4 s, so an older one has almost no weight.
const STALE_MS: u64 = 3000;
/// Maximum number of engines: about three times the largest fleet considered in `docs/design.md`.
const CAPACITY: usize = 20_000;

#[derive(Clone, Copy)]
struct LoadEntry {
    /// Number of requests that run or wait at the engine.
    load: u32,
    /// When the engine reported the load, in milliseconds.
    reported_at: u64,
}

/// Maps engines, by the hash of their id, to their last reported load.
///
/// Invariants: an older report never replaces a newer one; no report of age `STALE_MS` or more is returned; there are
/// at most `CAPACITY` entries.
#[derive(Default)]
pub struct LoadTable {
    entries: HashMap<u64, LoadEntry>,
}

impl LoadTable {
    /// Records a report, whose age is relative to `now`. A new engine is ignored while the table is full of fresh
    /// reports.
    pub fn record(&mut self, report: &EngineLoad, now: u64) {
        if !self.has_room_for(report.engine_hash, now) {
            return;
        }
        let reported_at = now.saturating_sub(u64::from(report.age_ms));
        let new_entry = LoadEntry { load: report.load, reported_at };
        let entry = self.entries.entry(report.engine_hash).or_insert(new_entry);
        if entry.reported_at <= reported_at {
            *entry = new_entry;
        }
    }

    /// Returns whether an engine has an entry or there is room for one. Removes stale entries when the table is full.
    fn has_room_for(&mut self, engine_hash: u64, now: u64) -> bool {
        if self.entries.len() < CAPACITY || self.entries.contains_key(&engine_hash) {
            return true;
        }
        self.entries.retain(|_, entry| now < entry.reported_at + STALE_MS);
        self.entries.len() < CAPACITY
    }

    /// Returns the fresh reports of the given engines.
    pub fn loads(&self, engine_hashes: impl Iterator<Item = u64>, now: u64) -> Vec<EngineLoad> {
        engine_hashes.filter_map(|engine_hash| self.load(engine_hash, now)).collect()
    }

    fn load(&self, engine_hash: u64, now: u64) -> Option<EngineLoad> {
        let entry = self.entries.get(&engine_hash)?;
        let age_ms = now.saturating_sub(entry.reported_at);
        let is_fresh = age_ms < STALE_MS;
        is_fresh.then_some(EngineLoad { engine_hash, load: entry.load, age_ms: age_ms as u32 })
    }

    /// Removes all reports.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}

#[cfg(test)]
#[path = "load_table_tests.rs"]
mod tests;
