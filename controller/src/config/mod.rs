//! The operators' configuration as control state.
//!
//! `body` defines the value of its register in all byte formats, `change` validates a change against that value,
//! `execution` commits changes and publishes them to the other controllers, and `history` encodes the frames that
//! routers receive.

pub mod body;
pub mod change;
pub mod execution;
pub mod history;
