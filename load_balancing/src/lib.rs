//! Engines: the list by zones, health as seen by sends, pressure, choosing among them, and this
//! daemon's slices of the shared bounds.
pub mod balance;
pub mod budget;
pub mod engine_state;
pub mod engine_table;
pub mod floor;
pub mod place;
pub mod sheet;
pub mod subset;
