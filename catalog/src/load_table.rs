//! The load that engines last reported to any router.
//!
//! It stands beside the prefix index since every prefill passes there anyway: registrations bring reports in, and look-ups
//! take those of a few engines out (`docs/design.md`, "Decisions from samples").

use std::collections::HashMap;

use protocol::message::EngineLoad;

/// How long a report is returned, in milliseconds. A router lets a report fade by half each 0.4 s, so an older one says
/// next to nothing.
const STALE_MS: u64 = 3000;
/// How many engines are held at most: about three times the largest fleet weighed in `docs/design.md`.
const CAPACITY: usize = 20_000;

#[derive(Clone, Copy)]
struct LoadEntry {
    /// Requests that run or wait at the engine.
    load: u32,
    /// In milliseconds.
    reported_at: u64,
}

/// Maps engines, by the hash of their id, to their last reported load.
///
/// Invariants: an older report never replaces a newer one; nothing of an age of `STALE_MS` or more is returned; at most
/// `CAPACITY` engines are held.
#[derive(Default)]
pub struct LoadTable {
    entries: HashMap<u64, LoadEntry>,
}

impl LoadTable {
    /// Records a report, whose age counts back from `now` in milliseconds. A new engine is ignored while the table is full
    /// of fresh reports.
    pub fn record(&mut self, report: &EngineLoad, now: u64) {
        if !self.has_room_for(report.engine_hash, now) {
            return;
        }
        let reported_at = now.saturating_sub(u64::from(report.age_ms));
        let new = LoadEntry { load: report.load, reported_at };
        let entry = self.entries.entry(report.engine_hash).or_insert(new);
        if entry.reported_at <= reported_at {
            *entry = new;
        }
    }

    /// Returns whether an engine has an entry or may get one. Drops stale entries when the table is full.
    fn has_room_for(&mut self, engine_hash: u64, now: u64) -> bool {
        if self.entries.len() < CAPACITY || self.entries.contains_key(&engine_hash) {
            return true;
        }
        self.entries.retain(|_, entry| now < entry.reported_at + STALE_MS);
        self.entries.len() < CAPACITY
    }

    /// Returns the fresh reports of some engines.
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
