//! The subscription to controllers: which of them is asked and when (pure), the links to them, and what their updates change here.

pub mod apply_update;
pub mod candidates;
pub mod driver;
pub mod links;
pub mod pacing;
pub mod response;
pub mod scheduler;
