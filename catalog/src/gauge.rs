//! How pressed engines were when they last told any router: kept beside the catalog, since every read
//! passes there anyway, and told to whoever asks for a few of them.

use std::collections::HashMap;

use protocol::message::EngineLoad;

/// Invariants: one entry an engine; an older one never replaces a newer one; nothing older than
/// `STALE_MS` is told; at most `ROOM` are held.
#[derive(Default)]
pub struct Gauge {
    held: HashMap<u64, (u32, u64)>,
}

const STALE_MS: u64 = 3000;
const ROOM: usize = 20_000;

impl Gauge {
    pub fn note(&mut self, told: &EngineLoad, now: u64) {
        let time = now.saturating_sub(u64::from(told.age_ms));
        if self.held.len() >= ROOM && !self.held.contains_key(&told.engine_hash) {
            self.held.retain(|_, (_, time)| now < *time + STALE_MS);
            if self.held.len() >= ROOM {
                return;
            }
        }
        let held = self.held.entry(told.engine_hash).or_insert((told.load, time));
        if held.1 <= time {
            *held = (told.load, time);
        }
    }

    pub fn tell(&self, names: impl Iterator<Item = u64>, now: u64) -> Vec<EngineLoad> {
        let one = |name: u64| {
            let (load, time) = self.held.get(&name).copied()?;
            let age_ms = now.saturating_sub(time);
            (age_ms < STALE_MS).then_some(EngineLoad { engine_hash: name, load, age_ms: age_ms as u32 })
        };
        names.filter_map(one).collect()
    }

    pub fn clear(&mut self) {
        self.held.clear();
    }
}

#[cfg(test)]
#[path = "gauge_tests.rs"]
mod tests;
