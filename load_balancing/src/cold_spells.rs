//! The cold spells of a list's engines: when each ends, and which version of the list announced it.
//!
//! A list gives the time for which an engine stays cold, counted from the moment at which the list was published. That
//! time runs down by itself, so a spell is told by its end: one that ends later than the announced one is another, and
//! must be announced too. Only the poller that publishes a list compares ends. All others go by the versions, so that
//! a list that was late on its way hides no spell.

use std::collections::HashMap;

use protocol::message::{Engine, ListVersion};

/// The part of a cold spell that is added to its announced end, in milliseconds: the ends computed from two polls of one
/// spell differ by the time that the responses took.
pub const END_TOLERANCE_MS: u32 = 100;

/// The cold spell of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ColdSpell {
    /// The version of the list that announced it.
    announced_in: ListVersion,
    /// Its announced end, in milliseconds of the steady clock.
    ends_at: u64,
}

/// The cold spells of one list, by engine id. Engines that the list shows as warm have none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ColdSpells(HashMap<String, ColdSpell>);

impl ColdSpells {
    /// Returns whether a poll at `now` shows that an engine is cold for longer than announced.
    pub fn is_extended(&self, engine: &Engine, now: u64) -> bool {
        engine.cold_ms > 0 && self.0.get(&engine.id).is_none_or(|spell| now + u64::from(engine.cold_ms) > spell.ends_at)
    }

    /// Returns whether the spell of an engine was announced after `version` of the list.
    pub fn is_announced_after(&self, engine: &Engine, version: ListVersion) -> bool {
        self.0.get(&engine.id).is_some_and(|spell| spell.announced_in > version)
    }

    /// Records the spells of these engines as announced in `version`, which was published or received at `now`.
    pub fn announce(&mut self, engines: &[Engine], version: ListVersion, now: u64) {
        for engine in engines {
            let ends_at = now + u64::from(engine.cold_ms);
            match engine.cold_ms {
                0 => self.0.remove(&engine.id),
                _ => self.0.insert(engine.id.clone(), ColdSpell { announced_in: version, ends_at }),
            };
        }
    }

    /// Forgets the spells of engines that are not listed any more.
    pub fn retain_listed(&mut self, engines: &[Engine]) {
        self.0.retain(|id, _| engines.iter().any(|engine| engine.id == *id));
    }

    /// Returns whether any spell goes on at `now`.
    pub fn is_any_active(&self, now: u64) -> bool {
        self.0.values().any(|spell| spell.ends_at > now)
    }

    /// Sets the times for which the engines of a list stay cold as of `now`. An engine listed as cold keeps at least
    /// 1 ms until a later list shows it as warm.
    pub fn update_remaining(&self, engines: &mut [Engine], now: u64) {
        for engine in engines.iter_mut().filter(|engine| engine.cold_ms > 0) {
            let left = self.0.get(&engine.id).map_or(0, |spell| spell.ends_at.saturating_sub(now));
            engine.cold_ms = u32::try_from(left).unwrap_or(u32::MAX).max(1);
        }
    }
}

#[cfg(test)]
#[path = "cold_spells_tests.rs"]
mod tests;
