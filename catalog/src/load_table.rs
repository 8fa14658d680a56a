//! How pressed engines were when they last reported any router: kept beside the catalog, since every read
//! passes there anyway, and reported to whoever asks for a few of them.

use std::collections::HashMap;

use protocol::message::EngineLoad;

/// Invariants: one entry an engine; an older one never replaces a newer one; nothing older than
/// `STALE_MS` is reported; at most `CAPACITY` are held.
#[derive(Default)]
pub struct LoadTable {
    entries: HashMap<u64, (u32, u64)>,
}

const STALE_MS: u64 = 3000;
const CAPACITY: usize = 20_000;

impl LoadTable {
    pub fn record(&mut self, reported: &EngineLoad, now: u64) {
        let time = now.saturating_sub(u64::from(reported.age_ms));
        if self.entries.len() >= CAPACITY && !self.entries.contains_key(&reported.engine_hash) {
            self.entries.retain(|_, (_, time)| now < *time + STALE_MS);
            if self.entries.len() >= CAPACITY {
                return;
            }
        }
        let held = self.entries.entry(reported.engine_hash).or_insert((reported.load, time));
        if held.1 <= time {
            *held = (reported.load, time);
        }
    }

    pub fn loads(&self, engine_hashes: impl Iterator<Item = u64>, now: u64) -> Vec<EngineLoad> {
        let one = |engine_hash: u64| {
            let (load, time) = self.entries.get(&engine_hash).copied()?;
            let age_ms = now.saturating_sub(time);
            (age_ms < STALE_MS).then_some(EngineLoad { engine_hash, load, age_ms: age_ms as u32 })
        };
        engine_hashes.filter_map(one).collect()
    }

    pub fn clear(&mut self) {
        self.entries.clear();
    }
}

#[cfg(test)]
#[path = "load_table_tests.rs"]
mod tests;
