//! The data plane: takes clients' requests and carries them to engines.
pub mod boot;
mod carry;
mod door;
mod doubt;
mod errand;
mod event;
mod feed;
mod follow;
mod frames;
mod fresh;
mod halves;
mod handle;
mod lookup;
mod plan;
mod pool;
mod receipt;
mod relay;
mod send;
mod stream;
mod table;
mod trip;
mod turn;
mod verdict;
mod yard;

#[cfg(test)]
mod stand_in;

#[cfg(test)]
mod stand_in_router;

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod exchange_tests;

#[cfg(test)]
#[path = "reuse_tests.rs"]
mod reuse_tests;

#[cfg(test)]
#[path = "stream_end_tests.rs"]
mod stream_end_tests;

#[cfg(test)]
#[path = "halves_tests.rs"]
mod halves_tests;
