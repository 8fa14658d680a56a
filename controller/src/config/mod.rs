//! The operators' configuration as control state.
//!
//! `body` is the value of its register in all byte formats, `change` decides about a change on top of it, `execution`
//! commits changes and publishes them to the other controllers, and `history` has the frames that routers get.

pub mod body;
pub mod change;
pub mod execution;
pub mod history;
