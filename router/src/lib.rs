//! The data plane: takes clients' requests and carries them to engines.
mod admission;
mod authorization;
pub mod boot;
mod config;
mod currency;
mod doubt;
mod doubt_pace;
mod doubt_probe;
mod doubt_word;
mod drain;
mod duration_estimate;
mod evacuation;
mod event;
mod exchange;
mod failure;
mod feed;
mod follow;
mod follow_absorb;
mod follow_links;
pub mod following;
pub mod following_answer;
mod following_candidates;
mod following_pace;
mod frames;
mod fresh;
mod halves;
mod kv_handle;
mod lookup;
mod metrics;
mod plan;
mod pool;
mod quota_gate;
mod relay;
mod request;
mod request_guard;
mod send;
mod server;
mod state;
mod stream;
mod table;
mod tenants;
mod verdict;
mod version_rollouts;

#[cfg(test)]
mod following_single_home;

#[cfg(test)]
mod following_world;

#[cfg(test)]
#[path = "following_storm_tests.rs"]
mod following_storm_tests;

#[cfg(test)]
mod stand_in;
#[cfg(test)]
mod stand_in_answers;

#[cfg(test)]
mod stand_in_controller;

#[cfg(test)]
mod stand_in_router;

#[cfg(test)]
#[path = "tenant_requests_tests.rs"]
mod tenant_requests_tests;

#[cfg(test)]
#[path = "revocation_tests.rs"]
mod revocation_tests;

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod exchange_tests;

#[cfg(test)]
#[path = "reuse_tests.rs"]
mod reuse_tests;

#[cfg(test)]
#[path = "kept_tests.rs"]
mod kept_tests;

#[cfg(test)]
#[path = "leaving_tests.rs"]
mod leaving_tests;

#[cfg(test)]
#[path = "stream_end_tests.rs"]
mod stream_end_tests;

#[cfg(test)]
#[path = "halves_tests.rs"]
mod halves_tests;
