//! The operators' configuration as control state: its stored forms, its history, how a change is judged and carried out.

pub mod body;
pub mod change;
pub mod execution;
pub mod history;
