//! The selection of an engine: pure functions over the engine table.
//!
//! `candidates` finds the engines that may be sent to, `cost` says what each would cost, and `choice` takes the cheapest.
//! Among equal costs the highest rendezvous hash of key and engine wins, so that all routers agree.

mod candidates;
mod choice;
mod cost;
mod packing;

use crate::engine_table::EngineTable;

/// What a selection for one request rests on.
pub struct SelectionContext<'a> {
    /// The engines.
    pub engine_table: &'a EngineTable,
    /// The time, in milliseconds.
    pub now: u64,
    /// The index of the service.
    pub service: u32,
    /// The index of the router's own zone.
    pub zone: u32,
    /// The indices of zones not to be used: evacuated, or outside the regions that the route or tenant allows.
    pub excluded_zones: &'a [u32],
    /// The indices of engines that this request was already sent to.
    pub tried_engines: &'a [usize],
    /// How many routers hold a lease.
    pub router_count: u32,
    /// What one cold engine bears in requests a second, all routers together; 0: no limit.
    pub cold_engine_rate: f64,
    /// For work bound by a limit on stale weights: the versions it may run on. An engine whose version is not known
    /// counts as past the limit.
    pub weight_versions: Option<WeightVersionRange>,
    /// The control state known here was confirmed at a quorum a moment ago.
    pub is_confirmed: bool,
    /// The version of the service that the request goes to.
    pub arm: Arm,
}

impl SelectionContext<'_> {
    /// Returns the same selection among the engines of another version.
    pub fn for_arm(&self, arm: Arm) -> SelectionContext<'_> {
        SelectionContext { arm, ..*self }
    }
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
    /// The index of the engine.
    pub engine: usize,
    /// The length of the prefix in tokens.
    pub tokens: u32,
}

/// The engine that a selection fell on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedEngine {
    /// The index of the engine.
    pub engine: usize,
    /// What it costs, in prompt tokens to be read before the answer can begin.
    pub cost: f64,
}

/// The version of a service whose engines are selected from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arm {
    /// The version in place.
    #[default]
    Stable,
    /// The version that is being rolled out.
    Candidate(CandidatePlacement),
}

/// Which engines of a version that is being rolled out get the requests that it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidatePlacement {
    /// All of them.
    Spread,
    /// As large a share of the decode engines as of the requests, so that each bears what an engine of the version in place
    /// bears. The same ones at all routers, and others in each turn.
    Rotating {
        /// The candidate's share of the requests, in thousandths.
        share: u32,
        /// Drawn at random for each request: which of the engines it goes to.
        draw: u32,
        /// Counts the turns.
        turn: u32,
    },
    /// Few decode engines, the same ones at all routers, so that each gets as many requests as it bears.
    Packed {
        /// The part of the stable version's load that the candidate's requests make, in thousandths.
        load_share: u32,
        /// Drawn at random for each request: which of the few engines it goes to.
        draw: u32,
        /// The first of these engines.
        first: PackingStart,
    },
}

/// Where a load test begins: at the engines that the canary before it went to, which are known best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PackingStart {
    /// The canary's share of the requests, in thousandths.
    pub canary_share: u32,
    /// The last turn of the canary.
    pub turn: u32,
}

impl Arm {
    /// Returns whether this is the version that is being rolled out.
    pub fn is_candidate(self) -> bool {
        self != Arm::Stable
    }
}

#[cfg(test)]
#[path = "selection_tests.rs"]
mod tests;
