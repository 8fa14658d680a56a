//! Engines: the list by zones, health as seen by sends, pressure, choosing among them, and this
//! daemon's slices of the shared bounds.
pub mod endpoint_lists;
pub mod engine_state;
pub mod engine_table;
pub mod phase_balance;
pub mod retry_budget;
pub mod selection;
pub mod staleness_bound;
pub mod subset;
