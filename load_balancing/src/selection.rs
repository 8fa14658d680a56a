//! Choosing engines: pure functions over the engine_table. Lower cost wins; ties go by rendezvous.

mod candidates;
mod choice;
mod cost;

use crate::engine_table::EngineTable;

/// What a choice looks at.
pub struct SelectionContext<'a> {
    pub engine_table: &'a EngineTable,
    pub now: u64,
    pub service: u32,
    /// The router's own zone.
    pub zone: u32,
    /// Areas not to be used: evacuated, or outside the homes. By dense index.
    pub excluded_zones: &'a [u32],
    /// Engines already tried for this errand.
    pub tried_engines: &'a [usize],
    pub router_count: u32,
    /// What one cold engine bears in a second, all routers together; 0: unbounded.
    pub cold_engine_rate: f64,
    /// For work bound by a limit on stale weights: the versions it may run on. An engine whose version is not
    /// known counts as past the limit.
    pub weight_versions: Option<WeightVersionRange>,
    /// The control state known here was confirmed at a majority a moment ago.
    pub is_confirmed: bool,
    pub arm: Arm,
}

/// The weight versions of a model that a request may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightVersionRange {
    /// The hash of the model's name.
    pub model: u64,
    /// The oldest version allowed.
    pub oldest: u64,
    /// The newest version allowed. Below `oldest`: none is allowed.
    pub newest: u64,
}

impl WeightVersionRange {
    /// Returns whether a version lies in the range.
    pub fn contains(&self, version: u64) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }
}

/// The longest prefix of a prompt whose KV cache an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// The index of the engine in the table.
    pub engine: usize,
    /// The length of the prefix.
    pub tokens: u32,
}

/// The engine that a choice fell on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedEngine {
    /// The index of the engine in the table.
    pub engine: usize,
    /// What it costs, in prompt tokens to be read before the answer can begin.
    pub cost: f64,
}

/// Which engines of a service are looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arm {
    /// Those of the version in place.
    #[default]
    Stable,
    /// Those of the version that is brought in, and of them only as large a share as it has of the requests, in
    /// thousandths: so each bears the load that it will bear.
    Candidate(u32),
}

impl Arm {
    pub fn is_candidate(self) -> bool {
        self != Arm::Stable
    }
}

#[cfg(test)]
#[path = "selection_tests.rs"]
mod tests;
