//! Updates of a zone's endpoint list: the whole list, or a delta from an earlier version.
//!
//! A zone of a large fleet has a thousand engines, and during a release some of them change with each poll of the
//! platform. Whole lists, sent each time, made up most of the traffic between controllers and routers.

use std::collections::{HashMap, HashSet};

use rkyv::{rancor, Archive, Deserialize, Serialize};

use super::{EndpointList, Engine};
use crate::compression;

/// The version of an endpoint list. Later versions compare greater, also across pollers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize)]
pub struct ListVersion {
    /// Increases whenever another poller takes over the zone.
    pub term: u64,
    /// Number of changes that this poller saw.
    pub sequence: u64,
}

/// The update from one version of a zone's endpoint list to a later one. Since version 6.
///
/// Invariant: two lists of one version name the same engines in the same state, so an update yields the same list
/// wherever its base is held.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The zone, or a hidden key for the candidates of a zone.
    pub zone: String,
    /// The version that it applies to, or `None` for a whole list, which applies to any older version.
    pub base: Option<ListVersion>,
    /// The resulting version.
    pub version: ListVersion,
    /// The added and changed engines, or all engines of a whole list; archived and compressed.
    packed_engines: Vec<u8>,
    /// The ids of removed engines.
    pub removed: Vec<String>,
}

/// The unpacked engines of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedEngines {
    /// The added and changed engines, or all engines of a whole list.
    pub changed: Vec<Engine>,
    /// The ids of removed engines.
    pub removed: Vec<String>,
}

impl EndpointList {
    /// Returns the version of the list.
    pub fn version(&self) -> ListVersion {
        ListVersion { term: self.term, sequence: self.sequence }
    }
}

impl EndpointUpdate {
    /// Returns an update with the whole list, which applies to any older version.
    pub fn whole(list: &EndpointList) -> EndpointUpdate {
        EndpointUpdate::new(list, None, &list.engines, Vec::new())
    }

    /// Returns the delta from one list of a zone to another, whose engines have no later slow starts. A shorter remaining
    /// slow start does not count as a change until it ends, since it runs down by itself.
    pub fn between(old: &EndpointList, new: &EndpointList) -> EndpointUpdate {
        EndpointUpdate::between_with(old, new, |_| false)
    }

    /// Returns the delta from one list of a zone to another. `has_later_slow_start` tells of an engine whether its slow
    /// start was announced after the old list, which the remaining times don't show.
    pub fn between_with(
        old: &EndpointList,
        new: &EndpointList,
        has_later_slow_start: impl Fn(&Engine) -> bool,
    ) -> EndpointUpdate {
        let before: HashMap<&str, &Engine> = old.engines.iter().map(|engine| (engine.id.as_str(), engine)).collect();
        let is_same = |engine: &Engine| before.get(engine.id.as_str()).is_some_and(|old| engine.is_same(old));
        let is_changed = |engine: &&Engine| !is_same(engine) || has_later_slow_start(engine);
        let changed: Vec<Engine> = new.engines.iter().filter(is_changed).cloned().collect();
        let listed: HashSet<&str> = new.engines.iter().map(|engine| engine.id.as_str()).collect();
        let removed = old.engines.iter().filter(|engine| !listed.contains(engine.id.as_str()));
        let removed = removed.map(|engine| engine.id.clone()).collect();
        EndpointUpdate::new(new, Some(old.version()), &changed, removed)
    }

    fn new(list: &EndpointList, base: Option<ListVersion>, engines: &[Engine], removed: Vec<String>) -> EndpointUpdate {
        let archived = rkyv::to_bytes::<rancor::Error>(&engines.to_vec()).expect("engines can always be archived");
        let packed_engines = compression::compress(&archived);
        EndpointUpdate { zone: list.zone.clone(), base, version: list.version(), packed_engines, removed }
    }

    /// Decodes the engines. Returns `None` if they can't be decoded.
    pub fn unpack(&self) -> Option<ChangedEngines> {
        let archived = compression::decompress(&self.packed_engines)?;
        let changed = rkyv::from_bytes::<Vec<Engine>, rancor::Error>(&archived).ok()?;
        Some(ChangedEngines { changed, removed: self.removed.clone() })
    }

    /// Returns whether it applies to a list of this version, or, for `None`, to a zone without a list.
    pub fn applies_to(&self, held: Option<ListVersion>) -> bool {
        match self.base {
            None => held.is_none_or(|held| held < self.version),
            Some(base) => held == Some(base) && base < self.version,
        }
    }
}

impl ChangedEngines {
    /// Returns the engines after the update; unchanged ones keep their order. `held` is empty for a whole list.
    pub fn apply(&self, held: &[Engine]) -> Vec<Engine> {
        let replaced: HashSet<&str> =
            self.changed.iter().map(|engine| &engine.id).chain(&self.removed).map(String::as_str).collect();
        let kept = held.iter().filter(|engine| !replaced.contains(engine.id.as_str()));
        kept.chain(&self.changed).cloned().collect()
    }
}

impl Engine {
    /// Returns whether two states of one engine are the same except for the remaining time of a slow start, which runs
    /// down by itself.
    pub fn is_same(&self, other: &Engine) -> bool {
        let without_remaining_time =
            |engine: &Engine| Engine { cold_ms: u32::from(engine.cold_ms > 0), ..engine.clone() };
        without_remaining_time(self) == without_remaining_time(other)
    }
}

#[cfg(test)]
#[path = "endpoint_update_tests.rs"]
mod tests;
