//! Engines: the list by zones, health as seen by sends, pressure, choosing among them, and this
//! daemon's slices of the shared bounds.

mod endpoint_lists;
mod engine_state;
mod engine_table;
mod phase;
mod phase_balance;
mod retry_budget;
mod selection;
mod sliding_window;
mod slow_start;
mod staleness_bound;
mod subset;

pub use endpoint_lists::{is_term_of, EndpointLists, ObservedVersion};
pub use engine_state::EngineState;
pub use engine_table::EngineTable;
pub use phase::Phase;
pub use phase_balance::{plan_phase_change, EngineObservation, PhaseChange};
pub use retry_budget::RetryBudget;
pub use selection::{Arm, CachedPrefix, SelectedEngine, SelectionContext, WeightVersionRange};
pub use slow_start::SlowStart;
pub use staleness_bound::{StalenessBound, StalenessBounds, LEASE_MS};
pub use subset::{Subset, SubsetMember, SubsetParams};
