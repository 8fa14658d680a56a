//! Load balancing of a router: which engines exist, what is known about them, and which one gets a request.
//!
//! - [`EndpointLists`] holds the endpoint lists that pollers read, one per zone.
//! - [`EngineTable`] holds the engines by index, with their load and health as this router observes them.
//! - `subset` picks the few engines that one router samples, so that the cost of a selection does not depend on the
//!   size of the fleet.
//! - [`SelectionContext`] selects the engine for prefill, for decode, or for both.
//! - [`RetryBudget`] and [`SlowStart`] enforce this router's share of limits that apply to all routers together.
//! - [`StalenessBounds`] determines which weight versions a request may run on.
//! - [`summarize_usage`] summarizes requests in flight for the controller that assigns phases.
//! - [`plan_phase_change`] decides, for a controller, which engines change between prefill and decode.
//!
//! Everything is synchronous and free of I/O: the time comes in with each call, in milliseconds of the caller's clock.
#![deny(missing_docs)]

mod cold_spells;
mod endpoint_lists;
mod engine_state;
mod engine_table;
mod engine_usage;
mod phase;
mod phase_balance;
mod retry_budget;
mod selection;
mod sliding_window;
mod slow_start;
mod staleness_bound;
mod subset;
#[cfg(test)]
mod testing;
mod topology;

pub use cold_spells::{ColdSpells, END_TOLERANCE_MS};
pub use endpoint_lists::{is_term_of, EndpointLists, ObservedVersion};
pub use engine_state::{EngineState, ReportedLoad};
pub use engine_table::EngineTable;
pub use engine_usage::{summarize_usage, PhaseKey, TotalUsage, UsageSample};
pub use phase::Phase;
pub use phase_balance::{
    plan_phase_change, plan_phase_change_among, EngineObservation, PhaseChange, PhaseLoad, ServiceLoad,
};
pub use retry_budget::RetryBudget;
pub use selection::{
    Arm, CachedPrefix, CandidatePlacement, PackingStart, SelectedEngine, SelectionContext, WeightVersionRange,
};
pub use slow_start::SlowStart;
pub use staleness_bound::{StalenessBound, StalenessBounds, LEASE_MS};
pub use subset::Subset;
