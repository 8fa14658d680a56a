//! Discovery of engines: the poller of the platform's list and what is made of it.

pub mod engine_directory;
pub mod list_history;
pub mod list_repairs;
pub mod listing;
pub mod poller;
pub mod version_lists;
