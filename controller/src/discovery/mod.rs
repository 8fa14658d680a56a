//! Engine discovery: polls the platform's engine list and derives the endpoint lists from it.

pub mod engine_directory;
pub mod list_history;
pub mod list_repairs;
pub mod listing;
pub mod platform_list;
pub mod poller;
pub mod stable_versions;
pub mod version_census;
pub mod version_lists;
