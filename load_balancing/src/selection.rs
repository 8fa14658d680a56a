//! Selects the engine for a request, with pure functions over the engine table.
//!
//! `candidates` finds the engines that may be selected, `cost` determines what each would cost, and `choice` takes the
//! cheapest. Ties go to the highest rendezvous hash of key and engine, so that all routers agree.

mod candidates;
mod choice;
mod cost;
mod packing;

use crate::engine_table::EngineTable;

/// The input of a selection for one request.
pub struct SelectionContext<'a> {
    /// All known engines.
    pub engine_table: &'a EngineTable,
    /// The current time, in milliseconds.
    pub now: u64,
    /// The index of the service.
    pub service: u32,
    /// The index of the router's own zone.
    pub zone: u32,
    /// The indices of excluded zones: evacuated, or outside the regions that the route or tenant allows.
    pub excluded_zones: &'a [u32],
    /// The indices of engines that this request was already sent to.
    pub tried_engines: &'a [usize],
    /// The number of routers that hold a lease.
    pub router_count: u32,
    /// The requests per second that one cold engine may get from all routers together; 0 means no limit.
    pub cold_engine_rate: f64,
    /// The allowed weight versions, for work under a staleness limit. An engine whose version is unknown counts as
    /// outside the limit.
    pub weight_versions: Option<WeightVersionRange>,
    /// Whether this router's control state was confirmed at a quorum within its lease.
    pub is_confirmed: bool,
    /// The version of the service that serves the request.
    pub arm: Arm,
}

impl SelectionContext<'_> {
    /// Returns the same context for the engines of another version.
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
    /// The newest version allowed. If it is less than `oldest`, no version is allowed.
    pub newest: u64,
}

impl WeightVersionRange {
    /// Returns whether a version is in the range.
    pub fn contains(&self, version: u64) -> bool {
        (self.oldest..=self.newest).contains(&version)
    }
}

/// The longest prefix of a prompt whose KV cache is held by one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// The index of the engine.
    pub engine: usize,
    /// The length of the prefix in tokens.
    pub tokens: u32,
}

/// The result of a selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SelectedEngine {
    /// The index of the engine.
    pub engine: usize,
    /// Its cost, in prompt tokens to be processed before the response can begin.
    pub cost: f64,
}

/// The version of a service from whose engines one is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arm {
    /// The stable version.
    #[default]
    Stable,
    /// The version that is being rolled out.
    Candidate(CandidatePlacement),
}

/// How the requests of a version that is being rolled out are distributed over its engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidatePlacement {
    /// Over all of them.
    Spread,
    /// Over the same share of the decode engines as the candidate's share of the requests, so that each has the load of
    /// a stable engine. The engines are the same at all routers and change with each turn.
    Rotating {
        /// The candidate's share of the requests, in thousandths.
        share: u32,
        /// A random number per request that picks one of these engines.
        draw: u32,
        /// The number of the current turn.
        turn: u32,
    },
    /// Over few decode engines, the same ones at all routers, so that each gets as many requests as it can serve.
    Packed {
        /// The candidate's load as a part of the stable version's load, in thousandths.
        load_share: u32,
        /// A random number per request that picks one of these engines.
        draw: u32,
        /// Determines the first of these engines.
        first: PackingStart,
    },
}

/// The engines at which a load test begins: those of the last canary turn, for which the most data exists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PackingStart {
    /// The canary's share of the requests, in thousandths.
    pub canary_share: u32,
    /// The number of the canary's last turn.
    pub turn: u32,
}

impl Arm {
    /// Returns whether this is the candidate version.
    pub fn is_candidate(self) -> bool {
        self != Arm::Stable
    }
}

#[cfg(test)]
#[path = "selection_tests.rs"]
mod tests;
