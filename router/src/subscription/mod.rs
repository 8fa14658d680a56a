//! The subscription of a router to controllers: the scheduling of calls (a pure state machine), the connections, and
//! the application of updates to the router's state.

pub mod apply_update;
pub mod candidates;
pub mod driver;
pub mod links;
pub mod pacing;
pub mod response;
pub mod scheduler;
